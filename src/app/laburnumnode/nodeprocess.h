#pragma once

#include "operatorserver.h"
#include "signals.h"

#include "eventloop/eventloop.h"
#include "httpio/httpclient.h"
#include "metrics/processmetrics.h"
#include "net/looplinks.h"
#include "nodestatus/nodestatus.h"
#include "runtime/decisionlog.h"
#include "settings/nodesettings.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace LaburnumFlow::Node {

/// Base class of the entry and agent processes: event loop, signals, log, metrics, start and stop.
class NodeProcess : public Net::LinkHandler
{
public:
    NodeProcess(const NodeProcess &) = delete;
    NodeProcess &operator=(const NodeProcess &) = delete;

    /// Runs until the process is told to stop. Returns the exit status.
    int run();

protected:
    using LogFields = std::vector<std::pair<std::string, std::string>>;

    NodeProcess(Settings::NodeSettings settings, std::string settingsFile);
    ~NodeProcess() override = default;

    /// Opens the process's own interfaces. Returns whether all could be bound.
    virtual bool listen() = 0;

    /// Called when the interfaces are open and before the event loop runs.
    virtual void begin() = 0;

    /// Called when the process was told to stop. It has until stopBy_ to finish its work and stop the event loop.
    virtual void beginStop() = 0;

    /// Sets the gauges of the metrics.
    virtual void refreshMetrics() = 0;

    /// Returns the state of the process for its operator, as JSON text.
    virtual std::string status() const = 0;

    /// Returns the fields of the log line that is written at the start.
    virtual LogFields identity() const = 0;

    NodeStatus::ProcessInfo processInfo() const;

    /// Counts the decision and writes it to the log.
    void logDecision(std::string_view event, const LogFields &fields);

    /// Records a call to another process in the metrics, and logs it if it was sent a second time or would have been. name is the call's name in both.
    void recordCall(std::string_view name, const HttpIo::ClientResponse &response, Base::Duration duration);

    Settings::NodeSettings settings_;
    EventLoop::Loop loop_;
    Runtime::DecisionLog log_;
    Metrics::ProcessMetrics metrics_;
    bool stopping_ = false;
    Base::MonoTime stopBy_{};

private:
    void stop();
    void countDroppedLines();

    std::string settingsFile_;
    Signals signals_;
    OperatorServer operatorServer_;
    std::uint64_t droppedLines_ = 0; ///< value that the metrics have last seen
};

} // namespace LaburnumFlow::Node
