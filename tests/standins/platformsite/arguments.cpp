#include "arguments.h"

#include <popt.h>

#include <cstdlib>
#include <iostream>
#include <memory>
#include <sstream>

namespace PlatformSite {

namespace {

constexpr int workerOption = 1;
constexpr std::size_t workersPerRack = 3;

/// SLOTS:SPEED
std::optional<WorkerShape> parseShape(const std::string &text, std::size_t index)
{
    std::istringstream in(text);
    WorkerShape shape;
    char colon = 0;
    in >> shape.slots >> colon >> shape.speed;
    if (!in || colon != ':' || shape.slots == 0 || shape.speed <= 0) {
        return std::nullopt;
    }
    shape.id = "worker-" + std::to_string(index);
    shape.rack = "r" + std::to_string(index / workersPerRack);
    return shape;
}

} // namespace

std::optional<Arguments> parseArguments(int argc, const char **argv)
{
    Arguments arguments;
    char *record = nullptr;
    bool faulty = false;
    const poptOption table[] = {
        {"worker", 'w', POPT_ARG_STRING, nullptr, workerOption, "a worker; may be given several times", "SLOTS:SPEED"},
        {"ports", 'p', POPT_ARG_INT, &arguments.ports, 0, "name so many free ports for the processes of the site", "NUMBER"},
        {"record", 'r', POPT_ARG_STRING, &record, 0, "write what the workers ran at the end", "FILE.json"},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(poptGetContext("platformsite", argc, argv, table, 0), &poptFreeContext);
    int code = 0;
    while ((code = poptGetNextOpt(context.get())) >= 0) {
        const std::unique_ptr<char, decltype(&std::free)> value(poptGetOptArg(context.get()), &std::free);
        const auto shape = parseShape(value.get(), arguments.workers.size());
        faulty |= !shape;
        arguments.workers.push_back(shape.value_or(WorkerShape{}));
    }
    const std::unique_ptr<char, decltype(&std::free)> ownedRecord(record, &std::free);
    arguments.record = record == nullptr ? "" : record;
    if (code < -1 || faulty || arguments.workers.empty() || poptPeekArg(context.get()) != nullptr) {
        std::cerr << "usage: platformsite --worker SLOTS:SPEED... [--ports NUMBER] [--record FILE.json]\n";
        return std::nullopt;
    }
    return arguments;
}

} // namespace PlatformSite
