#pragma once

#include "base/counters.h"
#include "events/entryeffects.h"
#include "events/entryevents.h"
#include "store/settingsservice.h"

#include <boost/leaf.hpp>

#include <cstdint>
#include <memory>

namespace LaburnumFlow::HttpApi {

/// Takes the events that HTTP requests become. Implemented by the entry's runtime; thread-safe.
class EventSink
{
public:
    virtual ~EventSink() = default;
    virtual void post(Events::Event event) = 0;
};

struct HttpConfig {
    Base::Endpoint listen; ///< port 0 lets the kernel choose
    unsigned threads = 2;
    unsigned maxConnections = 4096;
    unsigned bodyTimeoutSeconds = 10; ///< a slower request body is cut off
};

/// The address could not be bound.
struct ListenFailed {
    Base::Endpoint endpoint;
};

/// The callers' and operators' interface. Requests that wait for an answer hold no thread.
class HttpServer
{
public:
    HttpServer(const HttpConfig &config, EventSink &sink, Store::SettingsService &settings, Base::CounterRegistry &counters);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Fails with ListenFailed.
    boost::leaf::result<void> start();

    /// The bound port, once started.
    std::uint16_t port() const;

    /// Answers the request, if it is still open. Thread-safe.
    void answer(const Events::AnswerJob &effect);
    void answer(const Events::AnswerStatus &effect);
    void answer(const Events::AnswerOperator &effect);

    /// From now on GET /v1/health answers 503, so that a load balancer sends callers elsewhere. Thread-safe.
    void beginDrain();

    /// Open requests are answered first; new connections are refused.
    void stop();

    struct Private;

private:
    std::unique_ptr<Private> d_;
};

} // namespace LaburnumFlow::HttpApi
