#pragma once

#include "scenario.h"
#include "schedule.h"

#include "httptransfer/httpmessages.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace LaburnumFlow::Load {

enum class JobEnd : std::uint8_t {
    Succeeded,
    Refused, ///< not run
    Failed,
    Unknown,
    Cancelled,
    NoAnswer, ///< the connection broke or the tool's own limit passed
};

enum class CallPurpose : std::uint8_t {
    Submit,
    Resubmit,
    Query, ///< of a stored job's state
    Cancel,
};

/// One HTTP request to an entry. The body is JSON.
struct CallForm {
    std::string method;
    std::string path;
    std::vector<HttpTransfer::Header> headers;
    std::string body;
};

/// What an answer says.
struct CallMeaning {
    std::optional<JobEnd> end; ///< nothing: the job goes on, and its state is to be asked for
    std::string reason = {};
    bool sendAgain = false; ///< the interface asks callers to send the job again
};

/// The id of a new job that is sent at the time, in the form of the scenario's interface.
std::string makeJobId(const Scenario &scenario, double atSeconds, std::mt19937_64 &random);

CallForm formOf(const Scenario &scenario, const PlannedJob &job, const std::string &id, CallPurpose purpose);

CallMeaning meaningOf(const Scenario &scenario, long status, const std::string &body);

/// The path of a request that an entry answers without any work.
std::string probePath(const Scenario &scenario);

} // namespace LaburnumFlow::Load
