#include "store/callbudget.h"
#include "store/embeddedstore.h"
#include "store/storeconstants.h"
#include "storeoutcome.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Store;

namespace {

/// An embedded store whose range() fails while it is down.
class BreakableStore : public EmbeddedStore
{
public:
    boost::leaf::result<RangeResult> range(std::string_view prefix, Base::Duration deadline) override
    {
        if (down) {
            return boost::leaf::new_error(StoreUnavailable{"down"});
        }
        return EmbeddedStore::range(prefix, deadline);
    }

    bool down = false;
};

} // namespace

class TestCallBudget : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestCallBudget);
    CPPUNIT_TEST(limitsCalls);
    CPPUNIT_TEST(countsCalls);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a process that exceeds its share of the fleet's call rates, also after a long time without calls.
    void limitsCalls()
    {
        // The rates are three reads and one write per second. r: range, W: watch, w: write.
        const struct {
            Base::Duration pause;
            std::string calls;
            std::string allowed;
        } cases[] = {{0s, "rWrrWww", "rWrw"}, {333ms, "r", ""}, {1ms, "rrw", "r"}, {700ms, "wrrr", "wrr"}, {1h, "rrrrrww", "rrrw"}};
        for (const auto &row : cases) {
            now_ += row.pause;
            std::string allowed;
            for (const char call : row.calls) {
                const std::string outcome = makeCall(call);
                CPPUNIT_ASSERT(outcome == "ok" || outcome == "BudgetExhausted");
                allowed += outcome == "ok" ? std::string(1, call) : "";
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.calls, row.allowed, allowed);
        }
    }

    /// Guards against calls missing from the counters, and against errors that the budget replaces by others.
    void countsCalls()
    {
        for (const char call : std::string_view("rrWwww")) {
            makeCall(call);
        }
        now_ += 1s;
        inner_->down = true;
        CPPUNIT_ASSERT_EQUAL(std::string("StoreUnavailable"), makeCall('r'));
        const std::string large(maxValueBytes + 1, 'v');
        CPPUNIT_ASSERT_EQUAL(std::string("ValueTooLarge"), callOutcome([&] { return budget_.compareAndSwap("/k", large, 0, 1s); }));
        const std::map<std::string, std::uint64_t> expected{
            {"store.read", 3}, {"store.watch", 1}, {"store.write", 1}, {"store.budget-exhausted", 2}, {"store.unavailable", 1}};
        CPPUNIT_ASSERT(counters_.snapshot() == expected);
    }

private:
    std::string makeCall(char call)
    {
        if (call == 'r') {
            return callOutcome([&] { return budget_.range("/", 1s); });
        }
        if (call == 'W') {
            return callOutcome([&] { return budget_.watch("/", 0, 0s); });
        }
        return callOutcome([&] { return budget_.compareAndSwap("/k" + std::to_string(++written_), "v", 0, 1s); });
    }

    Base::MonoTime now_{1s};
    int written_ = 0;
    Base::CounterRegistry counters_;
    BreakableStore *inner_ = new BreakableStore;
    CallBudget budget_{std::unique_ptr<PlatformStore>(inner_), {3, 1}, counters_, [this] { return now_; }};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestCallBudget);
