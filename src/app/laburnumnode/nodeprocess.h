#pragma once

#include "operatorserver.h"
#include "signals.h"

#include "eventloop/eventloop.h"
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

/// What entries and agents have in common: the event loop, signals, the log, metrics, and the way from start to end.
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

    /// The interfaces are open and the loop is about to run.
    virtual void begin() = 0;

    /// The process is to stop; it has time until stopBy_.
    virtual void beginStop() = 0;

    /// Sets the gauges.
    virtual void refreshMetrics() = 0;

    /// What the process is doing, for its operator; a JSON text.
    virtual std::string status() const = 0;

    /// Of the line at the start.
    virtual LogFields identity() const = 0;

    NodeStatus::ProcessInfo processInfo() const;

    /// Counts the decision and writes it to the log.
    void logDecision(std::string_view event, const LogFields &fields);

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
    std::uint64_t droppedLines_ = 0; ///< as counted in the metrics
};

} // namespace LaburnumFlow::Node
