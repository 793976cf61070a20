#include "commands.h"

#include "laburnumctlconstants.h"
#include "output.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <iostream>

namespace LaburnumFlow::Ctl {

namespace {

using Json = nlohmann::json;

int usageError(const std::string &message)
{
    std::cerr << "laburnumctl: " << message << "; see laburnumctl --help\n";
    return exitUsage;
}

template<class OnReply>
int call(const Options &options, const HttpRequest &request, OnReply onReply)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<int> {
            BOOST_LEAF_AUTO(reply, perform(request));
            if (reply.status >= 300) {
                return reportFailure(options, reply);
            }
            if (options.json) {
                std::cout << reply.body << '\n';
                return exitOk;
            }
            return onReply(parseBody(reply.body));
        },
        [](const Unreachable &error) { return reportUnreachable(error); },
        [] { return exitFailed; });
}

std::string jobPath(const Options &options, const std::string &id)
{
    std::string path = "/v1/teams/" + escaped(options.team) + "/jobs/" + escaped(id);
    if (!options.orderingKey.empty()) {
        path += "?orderingKey=" + escaped(options.orderingKey);
    }
    return path;
}

int printJob(const Json &job)
{
    for (const auto &[name, value] : job.items()) {
        if (name != "results") {
            std::cout << name << ": " << plain(value) << '\n';
        }
    }
    std::size_t index = 0;
    for (const auto &result : job.value("results", Json::array())) {
        std::cout << "task " << index++ << ": " << result.dump() << '\n';
    }
    return exitOk;
}

/// Completes a job given as a file with the options of the command line.
bool buildJob(const Options &options, Json &job)
{
    std::string text;
    if (!readFile(options.file.empty() ? "-" : options.file, text)) {
        return false;
    }
    job = Json::parse(text, nullptr, false);
    if (job.is_discarded()) {
        std::cerr << "laburnumctl: the job is not JSON\n";
        return false;
    }
    if (job.is_array()) {
        job = Json{{"tasks", job}};
    }
    if (options.deadlineMs > 0) {
        job["deadlineMs"] = options.deadlineMs;
    }
    if (!options.orderingKey.empty()) {
        job["orderingKey"] = options.orderingKey;
    }
    return true;
}

int submit(const Options &options)
{
    if (options.team.empty()) {
        return usageError("submit needs --team");
    }
    Json job;
    if (!buildJob(options, job)) {
        return exitUsage;
    }
    HttpRequest request = requestOf(options, "POST", "/v1/teams/" + escaped(options.team) + "/jobs");
    request.body = job.dump();
    // The entry gives a job without an id a new one with each sending.
    request.idempotent = !options.id.empty();
    if (!options.id.empty()) {
        request.headers.push_back({"Idempotency-Key", options.id});
    }
    return call(options, request, printJob);
}

int jobCommand(const Options &options, const std::string &method, const std::string &id)
{
    if (options.team.empty()) {
        return usageError("the command needs --team");
    }
    return call(options, requestOf(options, method, jobPath(options, id)), printJob);
}

int showSections(const Options &options, const std::vector<std::string> &sections)
{
    return call(options, requestOf(options, "GET", "/v1/status"), [&](const Json &status) {
        for (const std::string &section : sections) {
            const Json rows = status.value(section, Json::array());
            std::vector<std::string> columns{"name"};
            const Json first = rows.empty() ? Json::object() : rows.front();
            for (const auto &[name, value] : first.items()) {
                if (name != "name") {
                    columns.push_back(name);
                }
            }
            std::cout << "== " << section << '\n';
            printTable(rows, columns);
        }
        return exitOk;
    });
}

int showCounters(const Options &options)
{
    return call(options, requestOf(options, "GET", "/v1/counters"), [](const Json &counters) {
        for (const auto &[name, value] : counters.items()) {
            std::cout << name << ' ' << value.dump() << '\n';
        }
        return exitOk;
    });
}

int simple(const Options &options, const std::string &method, const std::string &path)
{
    return call(options, requestOf(options, method, path), [](const Json &json) {
        std::cout << json.dump() << '\n';
        return exitOk;
    });
}

} // namespace

std::string urlOf(const Options &options, const std::string &path)
{
    return "http://" + options.entry + path;
}

HttpRequest requestOf(const Options &options, const std::string &method, const std::string &path)
{
    HttpRequest request;
    request.method = method;
    request.url = urlOf(options, path);
    request.timeout = std::chrono::milliseconds(options.timeoutMs);
    request.idempotent = method == "GET" || method == "DELETE";
    return request;
}

int reportFailure(const Options &options, const HttpReply &reply)
{
    const Json problem = parseBody(reply.body);
    if (options.json) {
        std::cout << reply.body << '\n';
    } else {
        printProblem(problem);
    }
    const std::string outcome = problem.value("outcome", std::string());
    const std::string reason = problem.value("reason", std::string());
    if (outcome == "not-run") {
        return exitNotRun;
    }
    if (outcome == "unknown" || reason == "change-undecided") {
        return exitUnknown;
    }
    if (reason == "settings-conflict") {
        return exitConflict;
    }
    return reason == "settings-faults" ? exitInvalid : exitFailed;
}

int reportUnreachable(const Unreachable &error)
{
    std::cerr << "laburnumctl: " << error.detail << (error.sent ? "; the request may have been carried out" : "; no entry received the whole request") << '\n';
    return error.sent ? exitUnknown : exitUnreachable;
}

int runCommand(const Options &options)
{
    const std::vector<std::string> &arguments = options.arguments;
    if (arguments.empty()) {
        return usageError("a command is missing");
    }
    const std::string &command = arguments[0];
    if (command == "settings") {
        return runSettingsCommand(options, {arguments.begin() + 1, arguments.end()});
    }
    if (command == "submit" && arguments.size() == 1) {
        return submit(options);
    }
    if (command == "status" && arguments.size() == 1) {
        return showSections(options, {"entry", "agent", "partitions", "settings", "queue"});
    }
    if (command == "status" && arguments.size() == 2) {
        return jobCommand(options, "GET", arguments[1]);
    }
    if (command == "cancel" && arguments.size() == 2) {
        return jobCommand(options, "DELETE", arguments[1]);
    }
    if (command == "workers" && arguments.size() == 1) {
        return showSections(options, {"agent"});
    }
    if (command == "counters" && arguments.size() == 1) {
        return showCounters(options);
    }
    if (command == "health" && arguments.size() == 1) {
        return simple(options, "GET", "/v1/health");
    }
    if (command == "drain" && arguments.size() == 1) {
        return simple(options, "POST", "/v1/drain");
    }
    if (command == "entries" && arguments.size() == 3 && arguments[1] == "confirm-dead") {
        return simple(options, "POST", "/v1/entries/" + escaped(arguments[2]) + "/confirm-dead");
    }
    if (command == "explain" && arguments.size() >= 3) {
        return explainJob(arguments[1], std::span(arguments).subspan(2));
    }
    if (command == "nodes" && arguments.size() >= 2) {
        return showNodes(options, std::span(arguments).subspan(1));
    }
    return usageError("unknown command or wrong number of arguments");
}

} // namespace LaburnumFlow::Ctl
