#pragma once

#include "protocol/job.h"

#include <boost/leaf.hpp>

#include <string>
#include <string_view>

namespace LaburnumFlow::HttpApi {

/// A request body that is not a well-formed job.
struct MalformedJob {
    Protocol::Reason reason = Protocol::Reason::BadRequest;
    std::string detail; ///< names the member that is wrong
};

/// Parses the JSON of a job. Unknown members are errors, as a misspelt deadline would otherwise be ignored.
/// Fails with MalformedJob.
boost::leaf::result<Protocol::JobBody> parseJob(std::string_view team, std::string_view body);

} // namespace LaburnumFlow::HttpApi
