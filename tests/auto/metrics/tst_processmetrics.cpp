#include "metrics/processmetrics.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Metrics;
using namespace std::chrono_literals;

class TestProcessMetrics : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestProcessMetrics);
    CPPUNIT_TEST(writesExpositionText);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against text that Prometheus can't parse, and against values with wrong names, labels or units.
    void writesExpositionText()
    {
        ProcessMetrics metrics;
        metrics.countDecision("job.accepted");
        metrics.countDecision("job.accepted");
        metrics.observeAnswer("submit", 429, 3ms);
        metrics.observeCall("commit", CallOutcome::Unknown, 1500ms);
        metrics.countSecondSending("start", true);
        metrics.countSecondSending("read-rules", false);
        metrics.countCommittedEntries(5);
        metrics.countDroppedLines(3);
        metrics.set(Gauge::OpenJobs, 7);
        metrics.set(Gauge::OpenJobs, 6);
        const std::string text = metrics.text();
        for (const char *line : {"# TYPE laburnumflow_decisions_total counter",
                                 "laburnumflow_decisions_total{event=\"job.accepted\"} 2",
                                 "# TYPE laburnumflow_answer_seconds histogram",
                                 "laburnumflow_answer_seconds_count{request=\"submit\",status=\"429\"} 1",
                                 "laburnumflow_answer_seconds_bucket{request=\"submit\",status=\"429\",le=\"0.002\"} 0",
                                 "laburnumflow_answer_seconds_bucket{request=\"submit\",status=\"429\",le=\"0.005\"} 1",
                                 "laburnumflow_call_seconds_sum{call=\"commit\",outcome=\"unknown\"} 1.5",
                                 "laburnumflow_second_sendings_total{call=\"start\",result=\"prevented\"} 1",
                                 "laburnumflow_second_sendings_total{call=\"read-rules\",result=\"sent\"} 1",
                                 "laburnumflow_committed_entries_total 5",
                                 "laburnumflow_log_lines_dropped_total 3",
                                 "# TYPE laburnumflow_open_jobs gauge",
                                 "laburnumflow_open_jobs 6"}) {
            CPPUNIT_ASSERT_MESSAGE(std::string("missing: ") + line + "\n" + text, ('\n' + text).find('\n' + std::string(line) + '\n') != std::string::npos);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestProcessMetrics);
