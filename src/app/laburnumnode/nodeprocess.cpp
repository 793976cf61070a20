#include "nodeprocess.h"

#include "nodeconfiguration.h"
#include "nodeconstants.h"

#include "base/timerservice.h"

#include <chrono>
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
    stopBy_ = Base::monoNow() + std::chrono::seconds(settings_.stopSeconds) - stopReserve;
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

void NodeProcess::recordCall(std::string_view name, const HttpIo::ClientResponse &response, Base::Duration duration)
{
    metrics_.observeCall(name, callOutcome(response), duration);
    if (response.secondSending == HttpTransfer::SecondSending::None) {
        return;
    }
    const bool prevented = response.secondSending == HttpTransfer::SecondSending::Prevented;
    metrics_.countSecondSending(name, prevented);
    logDecision("call.second-sending",
                {{"call", std::string(name)},
                 {"result", prevented ? "prevented" : "sent"},
                 {"status", std::to_string(response.status)},
                 {"ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count())}});
}

void NodeProcess::logDecision(std::string_view event, const LogFields &fields)
{
    metrics_.countDecision(event);
    log_.write(event, fields, loop_.now());
}

} // namespace LaburnumFlow::Node
