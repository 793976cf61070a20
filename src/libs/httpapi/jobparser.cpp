#include "jobparser.h"

#include "httpapiconstants.h"
#include "protocol/protocolconstants.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>

namespace LaburnumFlow::HttpApi {

namespace {

using Json = nlohmann::json;

constexpr std::size_t maxNameLength = 200;

boost::leaf::error_id malformed(std::string detail)
{
    return boost::leaf::new_error(MalformedJob{Protocol::Reason::BadRequest, std::move(detail)});
}

boost::leaf::result<Json> parseJson(std::string_view text)
{
    bool tooDeep = false;
    const auto limitDepth = [&tooDeep](int depth, Json::parse_event_t, Json &) {
        tooDeep = tooDeep || depth > maxJsonDepth;
        return !tooDeep;
    };
    try {
        Json json = Json::parse(text, limitDepth);
        if (tooDeep) {
            return malformed("the body is nested too deeply");
        }
        return json;
    } catch (const Json::parse_error &error) {
        return malformed("the body is not JSON, at byte " + std::to_string(error.byte));
    }
}

boost::leaf::result<Protocol::TaskSpec> parseTask(const Json &json, std::size_t index)
{
    const std::string path = "tasks[" + std::to_string(index) + "]";
    if (!json.is_object()) {
        return malformed(path + " must be an object");
    }
    Protocol::TaskSpec task;
    task.payload = "null";
    for (const auto &[name, value] : json.items()) {
        if (name == "kind") {
            if (!value.is_string() || value.get_ref<const std::string &>().empty() || value.get_ref<const std::string &>().size() > maxNameLength) {
                return malformed(path + ".kind must be a string of 1 to 200 bytes");
            }
            task.kind = value.get<std::string>();
        } else if (name == "payload") {
            task.payload = value.dump();
        } else {
            return malformed(path + " has an unknown member");
        }
    }
    if (task.kind.empty()) {
        return malformed(path + ".kind is missing");
    }
    return task;
}

boost::leaf::result<std::vector<Protocol::TaskSpec>> parseTasks(const Json &json)
{
    if (!json.is_array() || json.empty()) {
        return malformed("tasks must be an array of at least one task");
    }
    if (json.size() > Protocol::maxTasksPerJob) {
        return boost::leaf::new_error(MalformedJob{Protocol::Reason::TooManyTasks, "a job has at most 580 tasks"});
    }
    std::vector<Protocol::TaskSpec> tasks;
    tasks.reserve(json.size());
    for (std::size_t i = 0; i < json.size(); ++i) {
        BOOST_LEAF_AUTO(task, parseTask(json[i], i));
        tasks.push_back(std::move(task));
    }
    return tasks;
}

boost::leaf::result<std::uint32_t> parseDeadline(const Json &json)
{
    if (!json.is_number_integer()) {
        return malformed("deadlineMs must be an integer");
    }
    const bool positive = json.is_number_unsigned() && json.get<std::uint64_t>() > 0;
    if (!positive) {
        return boost::leaf::new_error(MalformedJob{Protocol::Reason::DeadlinePast, "deadlineMs must be above 0"});
    }
    const std::uint64_t value = json.get<std::uint64_t>();
    if (value > std::numeric_limits<std::uint32_t>::max()) {
        return malformed("deadlineMs is too large");
    }
    return static_cast<std::uint32_t>(value);
}

} // namespace

boost::leaf::result<Protocol::JobBody> parseJob(std::string_view team, std::string_view body)
{
    BOOST_LEAF_AUTO(json, parseJson(body));
    if (!json.is_object()) {
        return malformed("the body must be an object");
    }
    Protocol::JobBody job;
    job.team = team;
    for (const auto &[name, value] : json.items()) {
        if (name == "tasks") {
            BOOST_LEAF_ASSIGN(job.tasks, parseTasks(value));
        } else if (name == "deadlineMs") {
            BOOST_LEAF_ASSIGN(job.deadlineMs, parseDeadline(value));
        } else if (name == "orderingKey") {
            if (!value.is_string() || value.get_ref<const std::string &>().size() > maxNameLength) {
                return malformed("orderingKey must be a string of at most 200 bytes");
            }
            job.orderingKey = value.get<std::string>();
        } else {
            return malformed("the body has an unknown member");
        }
    }
    if (job.tasks.empty()) {
        return malformed("tasks is missing");
    }
    return job;
}

} // namespace LaburnumFlow::HttpApi
