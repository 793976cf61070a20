#pragma once

#include "base/counters.h"
#include "base/types.h"
#include "events/entryevents.h"
#include "httpapi/httpserver.h"
#include "runtime/lifecycle.h"
#include "settings/daemonsettings.h"
#include "store/platformstore.h"

#include <boost/leaf.hpp>

#include <memory>

/// Carries out the effects of the entry's reducer and feeds it with events.
namespace LaburnumFlow::Entry {

class EntryRuntime : public HttpApi::EventSink
{
public:
    EntryRuntime(Settings::EntrySettings settings, std::unique_ptr<Store::PlatformStore> store, Base::CounterRegistry &counters, Runtime::Lifecycle lifecycle);

    /// Calls stop().
    ~EntryRuntime() override;
    EntryRuntime(const EntryRuntime &) = delete;
    EntryRuntime &operator=(const EntryRuntime &) = delete;

    /// Binds the addresses and starts all threads. Fails with Net::BindFailed or HttpApi::ListenFailed.
    boost::leaf::result<void> start();

    /// Open HTTP requests are answered first; see HttpServer::stop().
    void stop();

    /// Thread-safe.
    void post(Events::Event event) override;

    /// The bound addresses, once started.
    Base::Endpoint http() const;
    Base::Endpoint peer() const;

private:
    struct Private;
    std::unique_ptr<Private> d_;
};

} // namespace LaburnumFlow::Entry
