#include "nodestatus/nodestatus.h"

#include "auto/jobs/ownerharness.h"
#include "auto/taskagent/agentharness.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

using namespace LaburnumFlow;
using namespace LaburnumFlow::NodeStatus;
using namespace std::chrono_literals;
using Json = nlohmann::json;

class TestNodeStatus : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestNodeStatus);
    CPPUNIT_TEST(ownerTellsOfItsWork);
    CPPUNIT_TEST(followerTellsOfItsView);
    CPPUNIT_TEST(agentTellsOfItsWorker);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against an owner's status that doesn't show why a worker gets no tasks, or which queue has waiting jobs.
    void ownerTellsOfItsWork()
    {
        Jobs::Testing::OwnerHarness owner({"agent-1", "agent-2"}, 4);
        owner.join("agent-1", 2000);
        owner.join("agent-2", 2000);
        owner.submit(1, Jobs::Testing::bestEffort(7, 3, 1000));
        owner.submit(2, Jobs::Testing::bestEffort(8, 3, 1000));
        owner.feed(Jobs::AgentUnlinked{"agent-2"});
        EntryNode::OwnershipState ownership;
        const Json status = entryStatus({{"entry-1", "domain-1", false}, 3, "entry-1", 2}, ownership, &owner.state);
        const Json &jobs = status.at("jobs");
        CPPUNIT_ASSERT_EQUAL(4, jobs.at("epoch").get<int>());
        const Json &queue = jobs.at("queues").at(0);
        CPPUNIT_ASSERT_EQUAL(std::string("queue"), queue.at("queue").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(2, queue.at("open").get<int>());
        CPPUNIT_ASSERT_EQUAL(1, queue.at("waiting").get<int>());
        CPPUNIT_ASSERT(queue.at("oldestMs").get<int>() > 0);
        const Json &first = jobs.at("workers").at(0);
        CPPUNIT_ASSERT_EQUAL(2, first.at("runs").get<int>());
        CPPUNIT_ASSERT_EQUAL(2000, first.at("usedMilli").get<int>());
        CPPUNIT_ASSERT_EQUAL(std::string("ready"), first.at("state").get<std::string>());
        owner.feed(Jobs::AgentLinked{"agent-3"});
        CPPUNIT_ASSERT_EQUAL(std::string("no-worker"), entryStatus({}, ownership, &owner.state).at("jobs").at("workers").at(2).at("state").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string("unlinked"), jobs.at("workers").at(1).at("state").get<std::string>());
    }

    /// Guards against the status of an entry without ownership that hides an unreachable store or a missing link to the owner.
    void followerTellsOfItsView()
    {
        auto ownership = EntryNode::makeOwnership({"entry-1", 1, {"10.0.0.1", 7000}, 25}, 1s, 100s);
        EntryNode::reduce(
            ownership,
            EntryNode::ClusterRead{EntryNode::ClusterRead::Content{Jobs::OwnerRecord{5, 0, "entry-2", 1, {}}, 10, {{"entry-2", 1, {"10.0.0.2", 7000}, 50}}}});
        Json status = entryStatus({{"entry-1", "domain-1", true}, 0, "", 0}, ownership, nullptr);
        CPPUNIT_ASSERT(status.at("stopping").get<bool>() && status.at("store").at("reachable").get<bool>());
        CPPUNIT_ASSERT_EQUAL(5, status.at("ownerEpoch").get<int>());
        CPPUNIT_ASSERT_EQUAL(std::string("entry-2"), status.at("entries").at(0).at("name").get<std::string>());
        CPPUNIT_ASSERT(!status.at("entries").at(0).at("linked").get<bool>() && !status.contains("jobs"));
        EntryNode::reduce(ownership, EntryNode::TimePassed{105s});
        status = entryStatus({{"entry-1", "domain-1", false}, 0, "", 0}, ownership, nullptr);
        CPPUNIT_ASSERT(!status.at("store").at("reachable").get<bool>());
        CPPUNIT_ASSERT_EQUAL(5000, status.at("store").at("answeredMsAgo").get<int>());
    }

    /// Guards against an agent's status that doesn't show whether it has an owner and a worker.
    void agentTellsOfItsWorker()
    {
        TaskAgent::Testing::AgentHarness agent;
        Json status = agentStatus({"agent-1", "domain-1", false}, agent.state);
        CPPUNIT_ASSERT(status.at("worker").get<std::string>().empty() && !status.at("hasOwner").get<bool>());
        agent.begin(6);
        agent.orders(6, {TaskAgent::Testing::startOf(TaskAgent::Testing::runOf(7))});
        status = agentStatus({"agent-1", "domain-1", false}, agent.state);
        CPPUNIT_ASSERT_EQUAL(std::string("worker-1"), status.at("worker").get<std::string>());
        CPPUNIT_ASSERT(status.at("hasOwner").get<bool>());
        CPPUNIT_ASSERT_EQUAL(6, status.at("ownerEpoch").get<int>());
        CPPUNIT_ASSERT_EQUAL(1, status.at("runs").get<int>());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestNodeStatus);
