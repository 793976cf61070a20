#include "commands.h"
#include "laburnumctlconstants.h"
#include "output.h"

#include "base/timerservice.h"
#include "base/uuid.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstdlib>
#include <iostream>
#include <mutex>
#include <random>
#include <sstream>

namespace LaburnumFlow::Ctl {

namespace {

using Json = nlohmann::json;

constexpr const char *settingsContentType = "application/yaml";

std::string subtreePath(const std::string &team)
{
    return team == "root" ? "/v1/settings/root" : "/v1/settings/teams/" + escaped(team);
}

std::string newChangeId()
{
    std::random_device device;
    std::mt19937_64 random((static_cast<std::uint64_t>(device()) << 32U) | device());
    return Base::toString(Base::makeUuidV7(Base::wallNow(), random(), random()));
}

std::string authorOf(const Options &options)
{
    if (!options.author.empty()) {
        return options.author;
    }
    const char *user = std::getenv("USER");
    return user == nullptr ? "unknown" : user;
}

void printDiff(const std::string &before, const std::string &after)
{
    const auto lines = [](const std::string &text) {
        std::vector<std::string> list;
        std::istringstream stream(text);
        for (std::string line; std::getline(stream, line);) {
            list.push_back(line);
        }
        return list;
    };
    const std::vector<std::string> a = lines(before);
    const std::vector<std::string> b = lines(after);
    // Length of the longest common subsequence of the rests from i and j.
    std::vector<std::vector<std::size_t>> common(a.size() + 1, std::vector<std::size_t>(b.size() + 1, 0));
    for (std::size_t i = a.size(); i-- > 0;) {
        for (std::size_t j = b.size(); j-- > 0;) {
            common[i][j] = a[i] == b[j] ? common[i + 1][j + 1] + 1 : std::max(common[i + 1][j], common[i][j + 1]);
        }
    }
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < a.size() || j < b.size()) {
        if (i < a.size() && j < b.size() && a[i] == b[j]) {
            std::cout << "  " << a[i++] << '\n';
            ++j;
        } else if (j == b.size() || (i < a.size() && common[i + 1][j] >= common[i][j + 1])) {
            std::cout << "- " << a[i++] << '\n';
        } else {
            std::cout << "+ " << b[j++] << '\n';
        }
    }
}

boost::leaf::result<Json> fetch(const Options &options, const std::string &path, HttpReply &reply)
{
    BOOST_LEAF_ASSIGN(reply, perform(requestOf(options, "GET", path)));
    return parseBody(reply.body);
}

/// The row of the subtree in the entry's status; an empty object if there is none.
boost::leaf::result<Json> settingsRow(const Options &options, const std::string &team)
{
    HttpReply reply;
    BOOST_LEAF_AUTO(status, fetch(options, "/v1/status", reply));
    for (const auto &row : status.value("settings", Json::array())) {
        if (row.value("name", std::string()) == team) {
            return row;
        }
    }
    return Json::object();
}

void pause(std::chrono::milliseconds duration)
{
    std::mutex mutex;
    std::condition_variable never;
    std::unique_lock lock(mutex);
    never.wait_for(lock, duration, [] { return false; });
}

boost::leaf::result<int> waitAccepted(const Options &options, const std::string &team, std::uint64_t revision)
{
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(options.timeoutMs);
    Json row;
    while (std::chrono::steady_clock::now() < deadline) {
        BOOST_LEAF_ASSIGN(row, settingsRow(options, team));
        const std::uint64_t current = std::strtoull(row.value("revision", std::string("0")).c_str(), nullptr, 10);
        if (current >= revision && row.value("accepted", std::string()) == "yes") {
            std::cout << "accepted: " << team << " revision " << revision << '\n';
            return exitOk;
        }
        pause(pollInterval);
    }
    std::cout << "pending: " << team << " revision " << revision << " " << row.dump() << '\n';
    return exitPending;
}

boost::leaf::result<int> change(const Options &options, const std::string &team, HttpRequest request)
{
    request.headers.push_back({"If-Match", "\"" + std::to_string(options.revision) + "\""});
    request.headers.push_back({"Change-Id", options.changeId.empty() ? newChangeId() : options.changeId});
    request.headers.push_back({"Author", authorOf(options)});
    // The entry answers the same change id with the change that was made.
    request.idempotent = true;
    BOOST_LEAF_AUTO(reply, perform(request));
    if (reply.status >= 300) {
        if (reply.status == 412 && !options.json) {
            const Json current = parseBody(reply.body).value("current", Json::object());
            std::cerr << "now in the store: revision " << current.value("revision", Json(0)).dump() << " by " << current.value("author", std::string()) << '\n'
                      << current.value("yaml", std::string()) << '\n';
        }
        return reportFailure(options, reply);
    }
    const Json written = parseBody(reply.body);
    return waitAccepted(options, team, written.value("revision", std::uint64_t{0}));
}

/// Without --revision a change is based on the revision that the store holds now.
boost::leaf::result<Options> withRevision(Options options, const std::string &team)
{
    if (options.revision >= 0) {
        return options;
    }
    HttpReply reply;
    BOOST_LEAF_AUTO(stored, fetch(options, subtreePath(team), reply));
    options.revision = reply.status == 404 ? 0 : stored.value("revision", 0LL);
    return options;
}

boost::leaf::result<int> set(const Options &given, const std::string &team)
{
    std::string yaml;
    if (!readFile(given.file.empty() ? "-" : given.file, yaml)) {
        return exitUsage;
    }
    BOOST_LEAF_AUTO(options, withRevision(given, team));
    HttpRequest request = requestOf(options, "PUT", subtreePath(team));
    request.body = yaml;
    request.contentType = settingsContentType;
    return change(options, team, std::move(request));
}

boost::leaf::result<int> rollback(const Options &given, const std::string &team, const std::string &to)
{
    BOOST_LEAF_AUTO(options, withRevision(given, team));
    return change(options, team, requestOf(options, "POST", subtreePath(team) + "/rollback?to=" + escaped(to)));
}

boost::leaf::result<int> show(const Options &options, const std::string &team, bool history)
{
    HttpReply reply;
    BOOST_LEAF_AUTO(stored, fetch(options, subtreePath(team), reply));
    if (reply.status >= 300) {
        return reportFailure(options, reply);
    }
    if (options.json) {
        std::cout << reply.body << '\n';
    } else if (history) {
        Json rows = stored.value("history", Json::array());
        rows.insert(rows.begin(), stored);
        printTable(rows, {"revision", "author", "wallMs", "changeId"});
    } else {
        std::cout << "# " << team << " revision " << stored["revision"].dump() << " by " << stored.value("author", std::string()) << '\n'
                  << stored.value("yaml", std::string()) << '\n';
    }
    return exitOk;
}

boost::leaf::result<int> diff(const Options &options, const std::string &team)
{
    std::string yaml;
    if (!readFile(options.file.empty() ? "-" : options.file, yaml)) {
        return exitUsage;
    }
    HttpReply reply;
    BOOST_LEAF_AUTO(stored, fetch(options, subtreePath(team), reply));
    printDiff(reply.status >= 300 ? std::string() : stored.value("yaml", std::string()), yaml);
    return exitOk;
}

boost::leaf::result<int> check(const Options &options, const std::string &team)
{
    HttpRequest request = requestOf(options, "POST", subtreePath(team) + "/check");
    request.contentType = settingsContentType;
    request.idempotent = true;
    if (!readFile(options.file.empty() ? "-" : options.file, request.body)) {
        return exitUsage;
    }
    BOOST_LEAF_AUTO(reply, perform(request));
    if (reply.status >= 300) {
        return reportFailure(options, reply);
    }
    std::cout << "valid\n";
    return exitOk;
}

boost::leaf::result<int> listing(const Options &options, const std::string &path, const std::vector<std::string> &columns)
{
    HttpReply reply;
    BOOST_LEAF_AUTO(rows, fetch(options, path, reply));
    if (reply.status >= 300) {
        return reportFailure(options, reply);
    }
    if (options.json) {
        std::cout << reply.body << '\n';
    } else {
        printTable(rows, columns);
    }
    return exitOk;
}

boost::leaf::result<int> run(const Options &options, const std::vector<std::string> &arguments)
{
    const std::string action = arguments.empty() ? "list" : arguments[0];
    const std::string team = arguments.size() > 1 ? arguments[1] : "root";
    if (action == "list") {
        return listing(options, "/v1/settings", {"team", "revision", "author", "wallMs"});
    }
    if (action == "get") {
        return show(options, team, false);
    }
    if (action == "history") {
        return show(options, team, true);
    }
    if (action == "explain") {
        const std::string path = arguments.size() > 2 ? arguments[2] : "";
        return listing(options, subtreePath(team) + "/explain?path=" + escaped(path), {"path", "value", "level"});
    }
    if (action == "set") {
        return set(options, team);
    }
    if (action == "diff") {
        return diff(options, team);
    }
    if (action == "check") {
        return check(options, team);
    }
    if (action == "rollback" && arguments.size() == 3) {
        return rollback(options, team, arguments[2]);
    }
    if (action == "wait" && arguments.size() == 3) {
        return waitAccepted(options, team, std::strtoull(arguments[2].c_str(), nullptr, 10));
    }
    std::cerr << "laburnumctl: unknown settings command; see laburnumctl --help\n";
    return exitUsage;
}

} // namespace

int runSettingsCommand(const Options &options, const std::vector<std::string> &arguments)
{
    return boost::leaf::try_handle_all(
        [&] { return run(options, arguments); }, [](const Unreachable &error) { return reportUnreachable(error); }, [] { return exitFailed; });
}

} // namespace LaburnumFlow::Ctl
