#pragma once

#include "httpclient.h"
#include "options.h"

#include <span>
#include <string>
#include <vector>

namespace LaburnumFlow::Ctl {

/// Runs the command that the arguments name and returns the exit code.
int runCommand(const Options &options);

/// Runs "settings ..."; arguments begin behind the word "settings".
int runSettingsCommand(const Options &options, const std::vector<std::string> &arguments);

/// Prints the timeline of a stored or best-effort job from saved logs; "-" is standard input.
int explainJob(const std::string &id, std::span<const std::string> files);

/// Prints what processes of laburnumnode are doing; addresses: of their metrics.
int showNodes(const Options &options, std::span<const std::string> addresses);

/// Prints an answer that is not a success and returns the exit code for it.
int reportFailure(const Options &options, const HttpReply &reply);

/// Prints why no entry answered and returns the exit code for it.
int reportUnreachable(const Unreachable &error);

/// The request's URL at the entry.
std::string urlOf(const Options &options, const std::string &path);

/// A request to the entry, with the time-out of the command line. GET and DELETE are idempotent: a job that is cancelled twice is cancelled.
HttpRequest requestOf(const Options &options, const std::string &method, const std::string &path);

} // namespace LaburnumFlow::Ctl
