#include "schedulemodel.h"

#include <algorithm>
#include <array>
#include <iostream>
#include <iterator>
#include <random>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Agent;

namespace {

constexpr std::uint16_t slots = 3;
constexpr std::uint16_t reserved = 1;
constexpr std::size_t partitions = 4;
constexpr std::size_t scheduleCount = 3000;
constexpr int stepsPerSchedule = 200;

const std::array<std::string, 3> entryNames{"a", "b", "c"};

/// Random run of an agent with three entries, determined by its seed. Entries take over partitions from one another, deliver
/// batches again and use outdated epochs, tokens and settings.
class Schedule
{
public:
    explicit Schedule(std::uint64_t seed) : random_(seed), agent_(slots, reserved), model_("seed " + std::to_string(seed), slots, reserved)
    {
        model_.advanceTo(agent_.now);
        model_.recordEcho("a", agent_.token());
    }

    std::size_t run()
    {
        for (int step = 0; step < stepsPerSchedule; ++step) {
            randomStep();
        }
        finishAll();
        model_.checkAllReported();
        return model_.starts();
    }

private:
    std::size_t pick(std::size_t n)
    {
        return static_cast<std::size_t>(random_() % n);
    }

    bool chance(std::size_t percent)
    {
        return pick(100) < percent;
    }

    void feed(const Event &event)
    {
        for (const Effect &effect : agent_.feed(event)) {
            if (const auto *start = std::get_if<BackendStart>(&effect)) {
                unfinished_.insert(start->key);
            }
        }
        model_.check(agent_.lastEffects, std::holds_alternative<TimePassed>(event));
    }

    void randomStep()
    {
        const std::size_t roll = pick(100);
        if (roll < 25) {
            passTime(std::chrono::milliseconds(1 + pick(chance(10) ? 1500 : 150)));
        } else if (roll < 45) {
            hello(entryNames[pick(3)], std::chrono::milliseconds(pick(chance(20) ? 2500 : 300)));
        } else if (roll < 70) {
            start();
        } else if (roll < 75) {
            redeliverBatch();
        } else if (roll < 85) {
            finishRandomTask();
        } else if (roll < 88) {
            takeOver();
        } else if (roll < 94) {
            queryOrCancel();
        } else if (roll < 97) {
            feed(EntryLinkChanged{{entryNames[pick(3)], 1}, chance(50)});
        } else if (roll < 99 || !chance(10)) {
            changeBackend();
        } else {
            model_.draining = true;
            feed(DrainRequested{});
        }
    }

    void passTime(Base::Duration by)
    {
        agent_.now += by;
        model_.advanceTo(agent_.now);
        feed(TimePassed{agent_.now, {}});
        const std::set<Base::AttemptKey> open = unfinished_;
        for (const Base::AttemptKey &key : open) {
            if (!model_.running().contains(key) && chance(50)) {
                finishTask(key, BackendOutcome::Stopped);
            }
        }
    }

    void hello(const std::string &entry, Base::Duration age)
    {
        model_.recordEcho(entry, agent_.token(age));
        feed(EntryHelloReceived{{}, {{entry, 1}, 1, agent_.token(age), {}}});
    }

    Protocol::StartTask makeTask()
    {
        const auto submission = static_cast<std::uint8_t>(pick(60));
        Protocol::StartTask task = makeStartTask(makeAttemptKey(submission, static_cast<std::uint16_t>(1 + pick(3))));
        task.partition = static_cast<Protocol::Partition>(submission % partitions);
        task.idempotent = submission % 3 != 0;
        task.urgent = submission % 7 == 0;
        task.expectedMs = submission % 5 == 0 ? 5000 : 100;
        task.limitMs = submission % 2 == 0 ? 2000 : 0;
        task.remainingMs = static_cast<std::uint32_t>(pick(5000));
        task.settingsRevision = revision_ - (chance(5) ? 1 : 0);
        task.rootRevision = revision_ - (chance(5) ? 1 : 0);
        return task;
    }

    void start()
    {
        revision_ += chance(3) ? 1 : 0;
        Protocol::StartBatch batch;
        const std::size_t partition = pick(partitions);
        batch.epoch = epochs_[partition] - (chance(5) && epochs_[partition] > 1 ? 1 : 0);
        batch.token = agent_.token(std::chrono::milliseconds(pick(chance(15) ? 3000 : 500)));
        batch.token.agentIncarnation += chance(3) ? 1 : 0;
        for (std::size_t n = 1 + pick(4); n > 0; --n) {
            batch.tasks.push_back(makeTask());
            batch.tasks.back().partition = static_cast<Protocol::Partition>(batch.tasks.back().key.task.submission.bytes[15] % partitions);
        }
        send(batch.epoch == epochs_[partition] ? owners_[partition] : entryNames[pick(3)], batch);
    }

    void send(const std::string &entry, const Protocol::StartBatch &batch)
    {
        sent_.emplace_back(entry, batch);
        model_.deliverStart(entry, batch);
        feed(EntryRequestReceived{{entry, 1}, batch});
        model_.checkAnswered(entry, batch, agent_.lastEffects);
    }

    /// Delivers an earlier batch again, as an old connection does that delivers late.
    void redeliverBatch()
    {
        if (!sent_.empty()) {
            const auto [entry, batch] = sent_[pick(sent_.size())];
            send(entry, batch);
        }
    }

    /// Takes the key by value, as callers pass elements of unfinished_, which this erases.
    void finishTask(Base::AttemptKey key, BackendOutcome outcome)
    {
        unfinished_.erase(key);
        model_.taskEnded(key, outcome);
        feed(BackendTaskEnded{key, outcome, "1"});
    }

    void finishRandomTask()
    {
        if (!unfinished_.empty()) {
            const Base::AttemptKey key = *std::next(unfinished_.begin(), static_cast<std::ptrdiff_t>(pick(unfinished_.size())));
            finishTask(key, model_.running().contains(key) ? static_cast<BackendOutcome>(pick(5)) : BackendOutcome::Stopped);
        }
    }

    void takeOver()
    {
        const std::size_t partition = pick(partitions);
        owners_[partition] = entryNames[pick(3)];
        ++epochs_[partition];
        if (chance(80)) {
            const std::vector<Protocol::Partition> taken{static_cast<Protocol::Partition>(partition)};
            model_.deliverFence(owners_[partition], epochs_[partition], taken);
            feed(EntryRequestReceived{{owners_[partition], 1}, Protocol::FenceQuery{epochs_[partition], taken}});
        }
    }

    void queryOrCancel()
    {
        const Base::AttemptKey key = makeTask().key;
        const std::size_t partition = key.task.submission.bytes[15] % partitions;
        const bool query = chance(50);
        model_.deliverKeys(owners_[partition], epochs_[partition], {key}, query);
        const Protocol::AgentRequest request = query ? Protocol::AgentRequest(Protocol::QueryAttempts{epochs_[partition], {key}})
                                                     : Protocol::AgentRequest(Protocol::CancelTasks{epochs_[partition], {key}});
        feed(EntryRequestReceived{{owners_[partition], 1}, request});
    }

    void changeBackend()
    {
        const BackendState next = chance(60) ? BackendState::Serving : static_cast<BackendState>(pick(3));
        model_.backend = next;
        // The agent treats a backend server as unreachable after two consecutive failed calls.
        for (int i = 0; i < 2; ++i) {
            feed(BackendStatus{next, slots, {}});
        }
    }

    /// Lets all tasks end while all entries are linked and echo tokens.
    void finishAll()
    {
        model_.backend = BackendState::Serving;
        feed(BackendStatus{BackendState::Serving, slots, {}});
        for (int round = 0; round < 60; ++round) {
            passTime(Protocol::heartbeatInterval);
            for (const std::string &entry : entryNames) {
                hello(entry, 0ms);
                feed(EntryLinkChanged{{entry, 1}, true});
            }
            while (!unfinished_.empty()) {
                finishTask(*unfinished_.begin(), model_.running().contains(*unfinished_.begin()) ? BackendOutcome::Succeeded : BackendOutcome::Stopped);
            }
        }
        CPPUNIT_ASSERT(agent_.state.running.empty() && agent_.state.queue.empty() && agent_.state.ledger.unreported.empty());
        CPPUNIT_ASSERT_EQUAL(model_.draining, agent_.effectsOfType<Exit>().size() == 1);
    }

    std::mt19937_64 random_;
    Harness agent_;
    ScheduleModel model_;
    std::uint64_t revision_ = 5;
    std::array<Protocol::Epoch, partitions> epochs_{1, 1, 1, 1};
    std::array<std::string, partitions> owners_{"a", "a", "a", "a"};
    std::vector<std::pair<std::string, Protocol::StartBatch>> sent_;
    std::set<Base::AttemptKey> unfinished_; ///< Started attempts whose end has not been reported to the agent
};

} // namespace

class TestSchedules : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestSchedules);
    CPPUNIT_TEST(randomSchedules);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against starts, leases and reports that break the rules of ScheduleModel in rare orders of messages, delays and
    /// failures.
    void randomSchedules()
    {
        std::size_t starts = 0;
        for (std::size_t seed = 1; seed <= scheduleCount; ++seed) {
            starts += Schedule(seed).run();
        }
        std::cout << scheduleCount << " schedules, " << starts << " starts\n";
        CPPUNIT_ASSERT_MESSAGE("too few starts for a meaningful test, expected more than 10 for each schedule", starts > 10 * scheduleCount);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestSchedules);
