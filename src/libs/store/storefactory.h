#pragma once

#include "base/counters.h"
#include "platformstore.h"
#include "settings/daemonsettings.h"

#include <memory>

namespace LaburnumFlow::Store {

/// Makes the store that the settings name. The embedded store starts with the settings' teams at revision 1.
std::unique_ptr<PlatformStore> makeStore(const Settings::StoreSettings &settings, Base::CounterRegistry &counters);

} // namespace LaburnumFlow::Store
