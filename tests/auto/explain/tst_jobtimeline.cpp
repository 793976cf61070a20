#include "explain/jobtimeline.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

using namespace LaburnumFlow::Explain;

namespace {

constexpr const char *id = "e402e9e131502522";

std::vector<std::string> timelineOf(const std::vector<std::string> &log)
{
    JobTimeline timeline(id);
    for (const std::string &line : log) {
        timeline.add(line);
    }
    return timeline.lines();
}

} // namespace

class TestJobTimeline : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestJobTimeline);
    CPPUNIT_TEST(readsLines);
    CPPUNIT_TEST(skipsWhatIsNoLogLine);
    CPPUNIT_TEST(ordersAcrossProcesses);
    CPPUNIT_TEST(showsWhatTheJobDependedOn);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against times or fields that are read wrongly from either form of log.
    void readsLines()
    {
        const auto own = parseLogLine("time=2026-12-04T16:14:06.123Z level=INFO event=job.begun process=entry-1 id=e402e9e131502522 tasks=2");
        CPPUNIT_ASSERT(own && own->event == "job.begun" && own->process == "entry-1" && own->fields.at("tasks") == "2");
        CPPUNIT_ASSERT_EQUAL(1'796'400'846'123LL, static_cast<long long>(own->time.count()));
        const auto collected = parseLogLine("37.0399 frontend-ibadan-1 event=job.refused id=e402e9e131502522 reason=backlog");
        CPPUNIT_ASSERT(collected && collected->process == "frontend-ibadan-1" && collected->time == std::chrono::milliseconds(37'040));
    }

    /// Guards against a crash or a wrong line for other text in a saved log.
    void skipsWhatIsNoLogLine()
    {
        for (const char *text :
             {"", "event=job.begun", "time=yesterday event=x", "nan p event=x", "1e300 p event=x", "12.5 p no event here", "=", "terminate called"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !parseLogLine(text));
        }
        CPPUNIT_ASSERT(timelineOf({"2.0 p event=job.begun id=0000000000000001", "x"}).empty());
    }

    /// Guards against a timeline that is in the order of the files, or that mixes in other jobs.
    void ordersAcrossProcesses()
    {
        const auto lines = timelineOf({"4.1136 entry-1 event=job.finished id=e402e9e131502522 state=completed",
                                       "3.9716 entry-1 event=job.begun id=e402e9e131502522",
                                       "4.0227 entry-1 event=task.ended run=e402e9e131502522.0.6/1 agent=side-4 how=failed",
                                       "4.0228 entry-1 event=task.ended run=e402e9e1315025220.0.6/1 agent=side-4 how=failed",
                                       "4.0300 side-4 event=run.barring run=e402e9e131502522.0.6/2"});
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), lines.size());
        CPPUNIT_ASSERT_EQUAL(std::string("      +0 ms      +0  * entry-1 job.begun id=e402e9e131502522"), lines[0]);
        CPPUNIT_ASSERT_EQUAL(std::string("     +51 ms     +51  * entry-1 task.ended agent=side-4 how=failed run=e402e9e131502522.0.6/1"), lines[1]);
        CPPUNIT_ASSERT(lines[2].find("run.barring") != std::string::npos);
        CPPUNIT_ASSERT(lines[3].find("    +142 ms     +84") == 0);
    }

    /// Guards against a cause that stays out of sight because its line does not name the job.
    void showsWhatTheJobDependedOn()
    {
        const auto lines = timelineOf({"10.0 entry-1 event=job.begun id=e402e9e131502522",
                                       "10.0 entry-1 event=task.placed run=e402e9e131502522.0.0/1 agent=side-1",
                                       "10.2 entry-1 event=worker.lost agent=side-1 reason=gone",
                                       "10.3 entry-1 event=worker.lost agent=side-2 reason=gone",
                                       "10.4 entry-2 event=owner.claim epoch=3",
                                       "10.5 side-1 event=worker.gone worker=w1",
                                       "5.0 entry-1 event=store.lost call=commit",
                                       "11.0 entry-2 event=job.finished id=e402e9e131502522 state=failed"});
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), lines.size());
        CPPUNIT_ASSERT(lines[2].find("worker.lost agent=side-1") != std::string::npos);
        CPPUNIT_ASSERT(lines[3].find("owner.claim") != std::string::npos);
        CPPUNIT_ASSERT(lines[4].find("side-1 worker.gone") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestJobTimeline);
