#include "runtime/decisionlog.h"

#include <cppunit/extensions/HelperMacros.h>
#include <log4cplus/initializer.h>

#include <fcntl.h>
#include <unistd.h>

#include <string>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Runtime;
using namespace std::chrono_literals;

class TestDecisionLog : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestDecisionLog);
    CPPUNIT_TEST(limitsLineRate);
    CPPUNIT_TEST(neverBlocksOnStandardOutput);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against logging without a rate limit, which takes processor time from the tasks under peak load.
    void limitsLineRate()
    {
        constexpr std::uint32_t linesPerSecond = 10;
        LineRateLimiter limiter(linesPerSecond);
        unsigned acquired = 0;
        for (int i = 0; i < 1000; ++i) {
            acquired += limiter.tryAcquire(100s + std::chrono::milliseconds(i)) ? 1U : 0U;
        }
        CPPUNIT_ASSERT(acquired >= 2 * linesPerSecond - 1);
        CPPUNIT_ASSERT(acquired <= 2 * linesPerSecond + 1);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1000 - acquired), limiter.takeDropped());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), limiter.takeDropped());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1000 - acquired), limiter.dropped());
    }

    /// Guards against a process that blocks because nobody reads its standard output, and against lines that are dropped without being counted.
    void neverBlocksOnStandardOutput()
    {
        int pipeEnds[2] = {-1, -1};
        CPPUNIT_ASSERT_EQUAL(0, ::pipe(pipeEnds));
        const int savedOutput = ::dup(STDOUT_FILENO);
        const int savedFlags = ::fcntl(STDOUT_FILENO, F_GETFL);
        ::dup2(pipeEnds[1], STDOUT_FILENO);
        {
            const log4cplus::Initializer initializer;
            logToStandardOutput();
            DecisionLog log("process", 1'000'000);
            const std::vector<std::pair<std::string, std::string>> fields{{"text", std::string(1000, 'x')}};
            // Far more bytes than the pipe and the buffer of the appender hold together. A blocking write would never return.
            for (int i = 0; i < 2000; ++i) {
                log.writeAlways("test.line", fields);
            }
            CPPUNIT_ASSERT(log.droppedLines() > 1500);
            CPPUNIT_ASSERT(log.droppedLines() < 2000);
        }
        ::dup2(savedOutput, STDOUT_FILENO);
        ::fcntl(STDOUT_FILENO, F_SETFL, savedFlags);
        ::close(savedOutput);
        ::close(pipeEnds[0]);
        ::close(pipeEnds[1]);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestDecisionLog);
