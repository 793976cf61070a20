#include "storefactory.h"

#include "callbudget.h"
#include "embeddedstore.h"
#include "etcdstore.h"
#include "storecodec.h"
#include "storeconstants.h"

#include "base/timerservice.h"

#include <cassert>

namespace LaburnumFlow::Store {

namespace {

void addSubtree(EmbeddedStore &store, const std::string &team, const std::string &yaml)
{
    StoredSettings settings;
    settings.subtree = {team, 1, "initial", yaml};
    settings.author = "settings file";
    settings.wallMs = Base::wallNow().count();
    // Cannot fail, as the store is empty and the settings were checked when the file was read.
    const auto written = store.compareAndSwap(settingsKey(team), toJson(settings), 0, settingsCallTimeout);
    assert(written);
    static_cast<void>(written);
}

std::unique_ptr<PlatformStore> make(const Settings::EmbeddedStoreSettings &settings, Base::CounterRegistry & /*counters*/)
{
    auto store = std::make_unique<EmbeddedStore>();
    if (!settings.rootYaml.empty()) {
        addSubtree(*store, "", settings.rootYaml);
    }
    for (const auto &[team, yaml] : settings.teamYaml) {
        addSubtree(*store, team, yaml);
    }
    return store;
}

std::unique_ptr<PlatformStore> make(const Settings::EtcdStoreSettings &settings, Base::CounterRegistry &counters)
{
    const CallRates rates{settings.readsPerSecond, settings.writesPerSecond};
    return std::make_unique<CallBudget>(std::make_unique<EtcdStore>(settings, counters), rates, counters);
}

} // namespace

std::unique_ptr<PlatformStore> makeStore(const Settings::StoreSettings &settings, Base::CounterRegistry &counters)
{
    return std::visit([&counters](const auto &store) { return make(store, counters); }, settings);
}

} // namespace LaburnumFlow::Store
