#pragma once

#include "store/settingsservice.h"

#include <boost/leaf.hpp>

#include <string>
#include <utility>

namespace LaburnumFlow::Store {

/// Returns "ok" or the name of the error's type. Stores the result in *value, and the pair of a SwapConflict in *conflict
/// unless that is null.
template<class Call, class Value>
std::string callOutcome(Call call, Value *value, KeyValue *conflict = nullptr)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::string> {
            BOOST_LEAF_AUTO(result, call());
            *value = std::move(result);
            return std::string("ok");
        },
        [conflict](const SwapConflict &error) {
            if (conflict != nullptr) {
                *conflict = error.current;
            }
            return std::string("SwapConflict");
        },
        [](const StoreUnavailable &) { return std::string("StoreUnavailable"); },
        [](const StoreRefused &) { return std::string("StoreRefused"); },
        [](const BudgetExhausted &) { return std::string("BudgetExhausted"); },
        [](const ValueTooLarge &) { return std::string("ValueTooLarge"); },
        [](const WatchCompacted &) { return std::string("WatchCompacted"); },
        [](const MalformedValue &) { return std::string("MalformedValue"); },
        [](const SettingsConflict &) { return std::string("SettingsConflict"); },
        [](const ChangeOutcomeUnknown &) { return std::string("ChangeOutcomeUnknown"); },
        [](const NoSuchRevision &) { return std::string("NoSuchRevision"); },
        [](const Settings::SettingsFaults &) { return std::string("SettingsFaults"); },
        [] { return std::string("an error of another type"); });
}

template<class Call>
std::string callOutcome(Call call)
{
    std::decay_t<decltype(call().value())> value;
    return callOutcome(call, &value);
}

} // namespace LaburnumFlow::Store
