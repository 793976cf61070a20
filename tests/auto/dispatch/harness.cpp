#include "harness.h"

#include "base/uuid.h"

#include <cppunit/TestAssert.h>

#include <algorithm>

namespace LaburnumFlow::DispatchTest {

using Protocol::AttemptState;

Harness::Harness(std::uint64_t seed, Dispatch::PlacementPolicy policy) : state(Dispatch::initialState({"self", seed, policy}))
{
    cluster.self.id = {"self", 1};
    cluster.map.emplace();
    cluster.map->epoch = 5;
    cluster.map->entries = {cluster.self, {{"other", 1}, {}, {}, {}}, {{"third", 1}, {}, {}, {}}};
    cluster.mapConfirmed = true;
    cluster.now = 1000s;
    cluster.wall = Base::WallTime(1'764'843'600'000);
    cluster.random.seed(seed);
    advance(10ms);
}

Settings::TeamRules &Harness::team(const std::string &name)
{
    Settings::TeamRules &rules = cluster.rules.teams[name];
    rules.team = name;
    return rules;
}

Settings::KindRules &Harness::kind(const std::string &teamName, const std::string &name, bool idempotent)
{
    Settings::KindRules &rules = team(teamName).kinds[name];
    rules.idempotent = idempotent;
    rules.expectedMs = 100;
    return rules;
}

Cluster::AgentInfo &Harness::agent(const std::string &name, std::uint16_t slots, std::uint64_t incarnation)
{
    Cluster::AgentInfo &info = cluster.agents[name];
    info.id = {name, incarnation};
    info.load.slots = slots;
    info.linkUp = true;
    info.tokenReceivedAt = cluster.now;
    info.token = {incarnation, cluster.now.count()};
    change(Cluster::AgentReachable{name});
    return info;
}

void Harness::setOwner(Protocol::Partition partition, const std::string &entry)
{
    const auto &entries = cluster.map->entries;
    const auto found = std::find_if(entries.begin(), entries.end(), [&](const auto &record) { return record.id.name == entry; });
    cluster.map->owner[partition] = static_cast<std::uint16_t>(found - entries.begin());
}

void Harness::advance(Base::Duration time)
{
    for (Base::Duration done{}; done < time; done += 10ms) {
        cluster.now += 10ms;
        cluster.wall += 10ms;
        for (auto &[name, info] : cluster.agents) {
            info.tokenReceivedAt = cluster.now;
        }
        send(Events::TimePassed{cluster.now, cluster.wall});
    }
}

void Harness::send(const Events::Event &event)
{
    collect(Dispatch::reduce(state, cluster, event));
}

void Harness::change(const Cluster::Change &event)
{
    collect(Dispatch::applyChange(state, cluster, event));
}

Events::RequestId Harness::submit(Protocol::JobBody job, std::optional<Base::Uuid> id)
{
    send(Events::JobSubmitted{++lastRequest_, id, std::move(job)});
    return lastRequest_;
}

Events::RequestId Harness::submit(const std::string &teamName, const std::string &kindName, std::size_t tasks, std::uint32_t deadlineMs)
{
    return submit(body(teamName, kindName, tasks, deadlineMs));
}

Protocol::JobBody Harness::body(const std::string &teamName, const std::string &kindName, std::size_t tasks, std::uint32_t deadlineMs)
{
    return {teamName, std::vector<Protocol::TaskSpec>(tasks, {kindName, "{}"}), deadlineMs, {}};
}

Base::Uuid Harness::newId(Base::WallTime offset)
{
    const std::uint64_t high = cluster.random();
    return Base::makeUuidV7(cluster.wall + offset, high, cluster.random());
}

Base::Uuid Harness::idIn(Protocol::Partition partition)
{
    Base::Uuid id = newId();
    while (Protocol::partitionForSubmission(id, "", "") != partition) {
        id = newId();
    }
    return id;
}

void Harness::update(const std::string &agentName,
                     const Base::AttemptKey &key,
                     AttemptState attemptState,
                     Protocol::AgentReason reason,
                     std::string result,
                     std::uint32_t runMs)
{
    const Cluster::AgentInfo &info = cluster.agents.at(agentName);
    send(Events::AgentReplyReceived{info.id, Protocol::TaskUpdates{info.token, info.load, {{key, attemptState, reason, runMs, std::move(result)}}}});
}

std::size_t Harness::finishAll(AttemptState attemptState, const std::string &onlyAgent)
{
    std::vector<SentStart> ended;
    std::copy_if(starts.begin(), starts.end(), std::back_inserter(ended), [&](const auto &start) { return onlyAgent.empty() || start.agent == onlyAgent; });
    std::erase_if(starts, [&](const auto &start) { return onlyAgent.empty() || start.agent == onlyAgent; });
    for (const SentStart &start : ended) {
        update(start.agent, start.task.key, attemptState);
    }
    return ended.size();
}

Protocol::JobFailed Harness::failure(Events::RequestId request) const
{
    const auto found = answers.find(request);
    CPPUNIT_ASSERT_MESSAGE("not answered", found != answers.end());
    CPPUNIT_ASSERT_EQUAL_MESSAGE("answered more than once", std::size_t{1}, found->second.size());
    const auto *failed = std::get_if<Protocol::JobFailed>(&found->second.front());
    return failed == nullptr ? Protocol::JobFailed{} : *failed;
}

bool Harness::answered(Events::RequestId request) const
{
    return answers.contains(request);
}

std::uint64_t Harness::counter(const std::string &name) const
{
    const auto found = counters_.find(name);
    return found == counters_.end() ? 0 : found->second;
}

void Harness::collect(Events::Effects effects)
{
    for (Events::Effect &effect : effects) {
        if (auto *answer = std::get_if<Events::AnswerJob>(&effect)) {
            answers[answer->request].push_back(std::move(answer->answer));
            ids[answer->request] = answer->submission;
        } else if (auto *status = std::get_if<Events::AnswerStatus>(&effect)) {
            statuses.push_back(std::move(*status));
        } else if (auto *peer = std::get_if<Events::SendToPeer>(&effect)) {
            peerSends.push_back(std::move(*peer));
        } else if (auto *count = std::get_if<Events::Count>(&effect)) {
            counters_[std::string(count->counter)] += count->increment;
        } else if (auto *sent = std::get_if<Events::SendToAgent>(&effect)) {
            if (auto *batch = std::get_if<Protocol::StartBatch>(&sent->request)) {
                startCount += batch->tasks.size();
                for (Protocol::StartTask &task : batch->tasks) {
                    starts.push_back({sent->agent, std::move(task)});
                }
            } else {
                agentSends.push_back(std::move(*sent));
            }
        }
    }
}

} // namespace LaburnumFlow::DispatchTest
