#include "../../../src/app/laburnumnode/awaitingrequests.h"
#include "../../../src/app/laburnumnode/nodeconstants.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Node;

namespace {

HttpIo::ServerRequest request(HttpIo::RequestId id)
{
    return {id, "GET", "/p/", "h", {}, {}};
}

} // namespace

/// Tests the requests that wait for newer rules.
class TestAwaitingRequests : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestAwaitingRequests);
    CPPUNIT_TEST(requestsAreReturnedInTheOrderOfTheirArrival);
    CPPUNIT_TEST(requestsExpire);
    CPPUNIT_TEST(requestThatWaitsAgainKeepsItsEnd);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a request that stays without an answer when newer rules come into force.
    void requestsAreReturnedInTheOrderOfTheirArrival()
    {
        AwaitingRequests requests;
        requests.add(request(1), 10s);
        requests.add(request(2), 10s);
        const auto taken = requests.takeAll();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), taken.size());
        CPPUNIT_ASSERT_EQUAL(HttpIo::RequestId(1), taken[0].id);
        CPPUNIT_ASSERT(requests.takeAll().empty());
        CPPUNIT_ASSERT(!requests.nextDue());
    }

    /// Guards against a request that waits for rules that never come.
    void requestsExpire()
    {
        AwaitingRequests requests;
        requests.add(request(1), 10s);
        requests.add(request(2), 11s);
        CPPUNIT_ASSERT(requests.nextDue() == Base::MonoTime(10s) + newerRulesTimeout);
        CPPUNIT_ASSERT(requests.takeExpired(Base::MonoTime(10s) + newerRulesTimeout - 1ms).empty());
        CPPUNIT_ASSERT((std::vector<HttpIo::RequestId>{1} == requests.takeExpired(Base::MonoTime(10s) + newerRulesTimeout)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), requests.takeAll().size());
    }

    /// Guards against a request that each new version makes wait anew.
    void requestThatWaitsAgainKeepsItsEnd()
    {
        AwaitingRequests requests;
        requests.add(request(1), 11s);
        requests.add(request(2), 10s);
        CPPUNIT_ASSERT(requests.nextDue() == Base::MonoTime(10s) + newerRulesTimeout);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestAwaitingRequests);
