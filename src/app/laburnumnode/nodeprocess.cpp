#include "nodeprocess.h"

#include "nodeconfiguration.h"
#include "nodeconstants.h"

#include "base/timerservice.h"

#include <cstdlib>

namespace LaburnumFlow::Node {

NodeProcess::NodeProcess(Settings::NodeSettings settings, std::string settingsFile)
    : settings_(std::move(settings))
    , log_(settings_.name, settings_.logLinesPerSecond)
    , settingsFile_(std::move(settingsFile))
    , signals_(loop_)
    , operatorServer_(
          loop_,
          settings_.metrics,
          metrics_,
          [this] {
              refreshMetrics();
              countDroppedLines();
          },
          [this] { return status(); })
{
}

int NodeProcess::run()
{
    if (!listen()) {
        log_.writeAlways("process.failed", {});
        return EXIT_FAILURE;
    }
    // The process goes on without metrics, as its service matters more.
    if (!operatorServer_.start()) {
        log_.writeAlways("metrics.failed", {});
    }
    signals_.onStop = [this] { stop(); };
    signals_.onReload = [this] { logReload(log_, settingsFile_); };
    log_.writeAlways("process.start", identity());
    begin();
    loop_.run();
    log_.writeAlways("process.stop", {});
    return EXIT_SUCCESS;
}

void NodeProcess::stop()
{
    if (stopping_) {
        loop_.stop();
        return;
    }
    stopping_ = true;
    stopBy_ = Base::monoNow() + drainTimeout;
    log_.writeAlways("process.stopping", {});
    beginStop();
}

NodeStatus::ProcessInfo NodeProcess::processInfo() const
{
    return {settings_.name, settings_.failureDomain, stopping_};
}

void NodeProcess::countDroppedLines()
{
    const std::uint64_t dropped = log_.droppedLines();
    metrics_.countDroppedLines(dropped - droppedLines_);
    droppedLines_ = dropped;
}

void NodeProcess::logDecision(std::string_view event, const LogFields &fields)
{
    metrics_.countDecision(event);
    log_.write(event, fields, loop_.now());
}

} // namespace LaburnumFlow::Node
