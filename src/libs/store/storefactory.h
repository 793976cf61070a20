#pragma once

#include "base/counters.h"
#include "platformstore.h"
#include "settings/daemonsettings.h"

#include <memory>

namespace LaburnumFlow::Store {

/// Creates the store selected by the settings. An embedded store starts with the teams of the settings at revision 1.
std::unique_ptr<PlatformStore> makeStore(const Settings::StoreSettings &settings, Base::CounterRegistry &counters);

} // namespace LaburnumFlow::Store
