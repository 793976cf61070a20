#include "logsetup.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loglevel.h>

#include <ios>
#include <memory>

namespace LaburnumFlow::Daemon {

namespace {

log4cplus::LogLevel levelOf(const std::string &name)
{
    if (name == "error") {
        return log4cplus::ERROR_LOG_LEVEL;
    }
    if (name == "warn") {
        return log4cplus::WARN_LOG_LEVEL;
    }
    return name == "debug" ? log4cplus::DEBUG_LOG_LEVEL : log4cplus::INFO_LOG_LEVEL;
}

log4cplus::SharedAppenderPtr makeAppender(const std::string &file)
{
    constexpr bool toStandardError = true;
    constexpr bool flushEachLine = true;
    if (file.empty()) {
        return log4cplus::SharedAppenderPtr(new log4cplus::ConsoleAppender(toStandardError, flushEachLine));
    }
    return log4cplus::SharedAppenderPtr(new log4cplus::FileAppender(file, std::ios_base::app, flushEachLine));
}

} // namespace

void setUpLog(const Settings::LogSettings &settings)
{
    const log4cplus::SharedAppenderPtr appender = makeAppender(settings.file);
    // %D prints UTC.
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("time=%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p %m%n"));
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(levelOf(settings.level));
}

} // namespace LaburnumFlow::Daemon
