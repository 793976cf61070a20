#include "platformstandin.h"

#include "store/base64.h"

#include <iterator>
#include <thread>
#include <vector>

namespace PlatformSite {

using nlohmann::json;

namespace {

constexpr std::ptrdiff_t maxHistory = 20'000; ///< changes

std::int64_t numberAfter(const std::string &path, std::size_t prefix)
{
    return std::strtoll(path.c_str() + prefix, nullptr, 10);
}

} // namespace

PlatformStandIn::PlatformStandIn() : server_([this](const StandInRequest &request) { return answer(request); }) { }

void PlatformStandIn::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(mutex_);
    ++revision_;
    Item &written = items_[key];
    written.value = LaburnumFlow::Store::encodeBase64(value);
    written.revision = revision_;
    recordEvent(key);
}

void PlatformStandIn::remove(const std::string &key)
{
    const std::lock_guard lock(mutex_);
    ++revision_;
    items_.erase(key);
    recordEvent(key);
}

unsigned PlatformStandIn::transfers(const std::string &key)
{
    const std::lock_guard lock(mutex_);
    return transfers_[key];
}

void PlatformStandIn::dropHistory()
{
    const std::lock_guard lock(mutex_);
    history_.clear();
    historyStart_ = revision_;
}

std::map<std::string, std::string> PlatformStandIn::read(const std::string &prefix)
{
    const std::lock_guard lock(mutex_);
    std::map<std::string, std::string> found;
    for (auto next = items_.lower_bound(prefix); next != items_.end() && next->first.starts_with(prefix); ++next) {
        found[next->first] = LaburnumFlow::Store::decodeBase64(next->second.value).value_or("");
    }
    return found;
}

void PlatformStandIn::holdReads(const std::string &prefix)
{
    const std::lock_guard lock(mutex_);
    heldPrefix_ = prefix;
    held_ = 0;
    releasedUpTo_ = 0;
}

void PlatformStandIn::releaseReads(unsigned count)
{
    const std::lock_guard lock(mutex_);
    releasedUpTo_ = count;
    released_.notify_all();
}

unsigned PlatformStandIn::heldReads()
{
    const std::lock_guard lock(mutex_);
    return held_;
}

StandInReply PlatformStandIn::answer(const StandInRequest &request)
{
    if (request.path == "/control") {
        return control(request.body);
    }
    std::unique_lock lock(mutex_);
    if (turnsAway) {
        return {503, {}};
    }
    removeLapsed();
    if (request.path == "/kv-key") {
        return item(request.query.at("Key"));
    }
    if (request.path == "/kv-watch") {
        return watch(request, lock);
    }
    if (request.path == "/kv-range") {
        const auto after = request.query.find("After");
        StandInReply reply = range(request.query.at("Prefix"), after == request.query.end() ? "" : after->second);
        waitForRelease(request.query.at("Prefix"), lock);
        return reply;
    }
    if (request.path == "/kv-txn") {
        return faultyTransaction(request.body, lock);
    }
    if (request.path == "/kv-lease") {
        return grant(request.body);
    }
    constexpr std::string_view keepPrefix = "/kv-keep/";
    constexpr std::string_view endPrefix = "/kv-lease-end/";
    if (request.path.starts_with(keepPrefix)) {
        return keep(numberAfter(request.path, keepPrefix.size()));
    }
    if (request.path.starts_with(endPrefix)) {
        return end(numberAfter(request.path, endPrefix.size()));
    }
    return {404, {}};
}

StandInReply PlatformStandIn::control(const std::string &body)
{
    const json faults = json::parse(body, nullptr, false);
    if (!faults.is_object()) {
        return {400, {}};
    }
    turnsAway = faults.value("turnsAway", false);
    losesEach = faults.value("losesEach", 0U);
    return {200, "{}"};
}

json PlatformStandIn::row(const std::string &key) const
{
    const auto found = items_.find(key);
    if (found == items_.end()) {
        return {{"Key", key}, {"Revision", 0}};
    }
    const Item &item = found->second;
    return {{"Key", key}, {"Value", item.value}, {"Revision", item.revision}, {"Created", item.created}, {"Lease", item.lease}};
}

void PlatformStandIn::recordEvent(const std::string &key)
{
    json event = row(key);
    if (!items_.contains(key)) {
        event = {{"Key", key}, {"Revision", revision_}, {"Tombstone", true}};
    }
    history_.push_back({revision_, key, std::move(event)});
    if (std::ssize(history_) > maxHistory) {
        const auto kept = history_.begin() + maxHistory / 2;
        historyStart_ = std::prev(kept)->revision;
        history_.erase(history_.begin(), kept);
    }
    changed_.notify_all();
}

json PlatformStandIn::eventsAfter(const std::string &prefix, std::int64_t after)
{
    json events = json::array();
    if (watchesHearNothing) {
        return events;
    }
    for (const Event &event : history_) {
        if (event.revision > after && event.key.starts_with(prefix)) {
            events.push_back(event.row);
            ++transfers_[event.key];
        }
    }
    return events;
}

StandInReply PlatformStandIn::watch(const StandInRequest &request, std::unique_lock<std::mutex> &lock)
{
    const std::string prefix = request.query.at("Prefix");
    const std::int64_t after = std::strtoll(request.query.at("After").c_str(), nullptr, 10);
    const std::chrono::milliseconds wait(std::strtoll(request.query.at("WaitMs").c_str(), nullptr, 10));
    const Clock::time_point end = Clock::now() + wait;
    if (after < historyStart_) {
        return {410, "{}"};
    }
    json events = eventsAfter(prefix, after);
    while (events.empty() && Clock::now() < end) {
        changed_.wait_until(lock, end);
        events = eventsAfter(prefix, after);
    }
    return {200, json{{"events", events}, {"StoreRevision", revision_}}.dump()};
}

StandInReply PlatformStandIn::item(const std::string &key)
{
    if (!items_.contains(key)) {
        return {404, "{}"};
    }
    ++transfers_[key];
    json body = row(key);
    body["StoreRevision"] = revision_;
    return {200, body.dump()};
}

StandInReply PlatformStandIn::range(const std::string &prefix, const std::string &after) const
{
    json rows = json::array();
    for (auto next = after.empty() ? items_.lower_bound(prefix) : items_.upper_bound(after); next != items_.end(); ++next) {
        if (!next->first.starts_with(prefix)) {
            break;
        }
        rows.push_back(row(next->first));
    }
    return {200, json{{"items", rows}, {"HasMore", false}, {"StoreRevision", revision_}}.dump()};
}

StandInReply PlatformStandIn::transaction(const std::string &body)
{
    const json request = json::parse(body);
    json conflicts = json::array();
    bool holds = true;
    for (const json &expected : request["Expect"]) {
        const json current = row(expected["Key"]);
        holds = holds && current["Revision"] == expected["Revision"];
        conflicts.push_back(current);
    }
    if (!holds) {
        return {412, json{{"items", conflicts}}.dump()};
    }
    for (const json &write : request["Writes"]) {
        if (write.contains("Lease") && !leases_.contains(write["Lease"])) {
            return {404, "{}"};
        }
    }
    ++revision_;
    for (const json &write : request["Writes"]) {
        Item &item = items_[write["Key"]];
        item.created = item.created == 0 ? revision_ : item.created;
        item.value = write["Value"];
        item.revision = revision_;
        item.lease = write.value("Lease", std::int64_t(0));
        recordEvent(write["Key"]);
    }
    for (const json &key : request["Deletes"]) {
        items_.erase(key.get<std::string>());
        recordEvent(key);
    }
    return {200, json{{"Revision", revision_}}.dump()};
}

StandInReply PlatformStandIn::faultyTransaction(const std::string &body, std::unique_lock<std::mutex> &lock)
{
    if (resetBodies_.erase(body) > 0 && turnsAwaySecondSendings) {
        ++turnedAway_;
        return {503, {}};
    }
    StandInReply reply = transaction(body);
    if (const std::chrono::milliseconds delay(delaysNextMs.exchange(0)); delay.count() > 0) {
        lock.unlock();
        std::this_thread::sleep_for(delay);
        lock.lock();
    }
    ++transactions_;
    if (resetsEach > 0 && transactions_ % resetsEach == 0) {
        resetBodies_.insert(body);
        ++resets_;
        reply.reset = true;
    }
    const bool lost = losesEach > 0 && transactions_ % losesEach == 0;
    return lost ? StandInReply{0, {}} : reply;
}

void PlatformStandIn::waitForRelease(const std::string &prefix, std::unique_lock<std::mutex> &lock)
{
    constexpr std::chrono::seconds limit{5}; // Longer than any caller waits, so that threads end.
    if (heldPrefix_.empty() || prefix != heldPrefix_) {
        return;
    }
    const unsigned number = ++held_;
    released_.wait_for(lock, limit, [this, number] { return releasedUpTo_ >= number; });
}

StandInReply PlatformStandIn::grant(const std::string &body)
{
    const std::chrono::milliseconds term(json::parse(body)["TtlMs"].get<std::int64_t>());
    leases_[++lastLease_] = {term, Clock::now() + term};
    return {200, json{{"Lease", lastLease_}, {"TtlMs", term.count()}}.dump()};
}

StandInReply PlatformStandIn::keep(std::int64_t lease)
{
    const auto found = leases_.find(lease);
    if (found == leases_.end()) {
        return {404, "{}"};
    }
    found->second.end = Clock::now() + found->second.term;
    return {200, json{{"TtlMs", found->second.term.count()}}.dump()};
}

StandInReply PlatformStandIn::end(std::int64_t lease)
{
    removeLease(lease);
    return {200, "{}"};
}

void PlatformStandIn::removeLapsed()
{
    std::vector<std::int64_t> lapsed;
    for (const auto &[id, lease] : leases_) {
        if (lease.end < Clock::now()) {
            lapsed.push_back(id);
        }
    }
    for (const std::int64_t id : lapsed) {
        removeLease(id);
    }
}

void PlatformStandIn::removeLease(std::int64_t lease)
{
    leases_.erase(lease);
    std::vector<std::string> removed;
    for (const auto &[key, item] : items_) {
        if (item.lease == lease) {
            removed.push_back(key);
        }
    }
    revision_ += removed.empty() ? 0 : 1;
    for (const std::string &key : removed) {
        items_.erase(key);
        recordEvent(key);
    }
}

StoreAddress::StoreAddress(PlatformStandIn &store)
    : server_([this, &store](const StandInRequest &request) {
        return turnsAway ? StandInReply{503, {}} : store.answer(request);
    })
{
}

} // namespace PlatformSite
