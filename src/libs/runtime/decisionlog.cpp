#include "decisionlog.h"

#include <log4cplus/appender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loglevel.h>
#include <log4cplus/spi/loggingevent.h>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <memory>
#include <sstream>

namespace LaburnumFlow::Runtime {

namespace {

/// Number of lines that appenders dropped. log4cplus owns the appenders, so the count is kept outside of them.
std::atomic<std::uint64_t> linesDroppedByAppenders = 0;

/// Writes to standard output without blocking.
class NonBlockingAppender : public log4cplus::Appender
{
public:
    NonBlockingAppender()
    {
        const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
        ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }

    ~NonBlockingAppender() override
    {
        destructorImpl();
    }

    void close() override
    {
        closed = true;
    }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override
    {
        std::ostringstream text;
        layout->formatAndAppend(text, event);
        std::string line = std::move(text).str();
        if (droppedSinceLastLine_ > 0) {
            line.insert(line.size() - 1, " unwritten=" + std::to_string(droppedSinceLastLine_));
        }
        unwritten_ += line;
        const ssize_t size = ::write(STDOUT_FILENO, unwritten_.data(), unwritten_.size());
        if (size >= 0) {
            unwritten_.erase(0, static_cast<std::size_t>(size));
        }
        droppedSinceLastLine_ = 0;
        if (unwritten_.size() > maxUnwrittenBytes) {
            // Keeps the rest of the first line, which may have been written in part.
            const std::size_t keep = unwritten_.find('\n') + 1;
            droppedSinceLastLine_ = static_cast<std::uint64_t>(std::count(unwritten_.begin() + static_cast<std::ptrdiff_t>(keep), unwritten_.end(), '\n'));
            linesDroppedByAppenders += droppedSinceLastLine_;
            unwritten_.resize(keep);
        }
    }

private:
    static constexpr std::size_t maxUnwrittenBytes = 65'536;

    std::string unwritten_;
    std::uint64_t droppedSinceLastLine_ = 0;
};

} // namespace

bool LineRateLimiter::tryAcquire(Base::MonoTime now)
{
    const double passed = std::chrono::duration<double>(now - refilledAt_).count();
    tokens_ = std::min(linesPerSecond_, tokens_ + passed * linesPerSecond_);
    refilledAt_ = now;
    if (tokens_ < 1.0) {
        ++dropped_;
        return false;
    }
    tokens_ -= 1.0;
    return true;
}

std::uint64_t LineRateLimiter::takeDropped()
{
    return dropped_ - std::exchange(reportedDropped_, dropped_);
}

void DecisionLog::write(std::string_view event, std::span<const std::pair<std::string, std::string>> fields, Base::MonoTime now)
{
    if (rateLimiter_.tryAcquire(now)) {
        writeAlways(event, fields);
    }
}

void DecisionLog::writeAlways(std::string_view event, std::span<const std::pair<std::string, std::string>> fields)
{
    std::vector<LogField> line;
    line.reserve(fields.size() + 2);
    line.emplace_back("process", process_);
    for (const auto &[key, value] : fields) {
        line.emplace_back(key, value);
    }
    if (const std::uint64_t dropped = rateLimiter_.takeDropped(); dropped > 0) {
        line.emplace_back("dropped", std::to_string(dropped));
    }
    writeLogLine(event, line);
}

std::uint64_t DecisionLog::droppedLines() const
{
    return rateLimiter_.dropped() + linesDroppedByAppenders;
}

void logToStandardOutput()
{
    const log4cplus::SharedAppenderPtr appender(new NonBlockingAppender);
    // %D prints local time. The "Z" after it is right only where the time zone of the process is UTC.
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("time=%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p %m%n"));
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(log4cplus::INFO_LOG_LEVEL);
}

} // namespace LaburnumFlow::Runtime
