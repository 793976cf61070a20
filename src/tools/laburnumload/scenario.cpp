#include "scenario.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>

namespace LaburnumFlow::Load {

namespace {

template<class T>
void read(const YAML::Node &node, const char *key, T &value)
{
    if (node[key]) {
        value = node[key].as<T>();
    }
}

WorkClass readClass(const YAML::Node &node)
{
    WorkClass work;
    work.kind = node["kind"].as<std::string>();
    read(node, "share", work.share);
    read(node, "minMs", work.minMs);
    read(node, "maxMs", work.maxMs);
    read(node, "stragglerShare", work.stragglerShare);
    read(node, "stragglerFactor", work.stragglerFactor);
    read(node, "tasksPerJob", work.tasksPerJob);
    read(node, "short", work.isShort);
    return work;
}

RateStep readStep(const YAML::Node &node)
{
    RateStep step;
    read(node, "atSeconds", step.atSeconds);
    read(node, "load", step.load);
    return step;
}

WorkerShape readWorker(const YAML::Node &node)
{
    WorkerShape worker;
    read(node, "count", worker.count);
    read(node, "slots", worker.slots);
    read(node, "speed", worker.speed);
    return worker;
}

Interface readInterface(const YAML::Node &node)
{
    std::string name = "jobs";
    read(node, "interface", name);
    if (name != "jobs" && name != "platform") {
        throw YAML::RepresentationException(node["interface"].Mark(), "interface must be jobs or platform");
    }
    return name == "jobs" ? Interface::Jobs : Interface::Platform;
}

Scenario readScenario(const YAML::Node &node)
{
    Scenario scenario;
    scenario.name = node["name"].as<std::string>();
    scenario.interface = readInterface(node);
    read(node, "team", scenario.team);
    read(node, "host", scenario.host);
    read(node, "prefix", scenario.prefix);
    read(node, "stored", scenario.stored);
    read(node, "durationSeconds", scenario.durationSeconds);
    read(node, "clientDelayMs", scenario.clientDelayMs);
    read(node, "deadlineMs", scenario.deadlineMs);
    read(node, "resendMs", scenario.resendMs);
    read(node, "cancelShare", scenario.cancelShare);
    read(node, "resubmitShare", scenario.resubmitShare);
    for (const YAML::Node &item : node["mix"]) {
        scenario.mix.push_back(readClass(item));
    }
    for (const YAML::Node &item : node["steps"]) {
        scenario.steps.push_back(readStep(item));
    }
    for (const YAML::Node &item : node["workers"]) {
        scenario.workers.push_back(readWorker(item));
    }
    return scenario;
}

} // namespace

boost::leaf::result<Scenario> loadScenario(const std::string &path)
{
    try {
        Scenario scenario = readScenario(YAML::LoadFile(path));
        if (scenario.mix.empty() || scenario.steps.empty() || scenario.workers.empty()) {
            return boost::leaf::new_error(BadScenario{"mix, steps and workers must not be empty"});
        }
        return scenario;
    } catch (const YAML::Exception &error) {
        return boost::leaf::new_error(BadScenario{error.what()});
    }
}

double capacityMsPerSecond(const Scenario &scenario)
{
    double capacity = 0;
    for (const WorkerShape &worker : scenario.workers) {
        capacity += worker.count * worker.slots * worker.speed * 1000.0;
    }
    return capacity;
}

double fastestSpeed(const Scenario &scenario)
{
    double speed = 0;
    for (const WorkerShape &worker : scenario.workers) {
        speed = std::max(speed, worker.speed);
    }
    return speed;
}

} // namespace LaburnumFlow::Load
