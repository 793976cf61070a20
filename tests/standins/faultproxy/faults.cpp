#include "faults.h"

#include <nlohmann/json.hpp>

namespace FaultProxy {

Faults FaultControl::current() const
{
    const std::lock_guard lock(mutex_);
    return faults_;
}

bool FaultControl::apply(std::string_view text)
{
    const nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object()) {
        return false;
    }
    const std::lock_guard lock(mutex_);
    faults_.targetPort = json.value("targetPort", faults_.targetPort);
    faults_.delay = std::chrono::milliseconds(json.value("delayMs", faults_.delay.count()));
    faults_.bytesPerSecond = json.value("bytesPerSecond", faults_.bytesPerSecond);
    faults_.dropDatagrams = json.value("dropDatagrams", faults_.dropDatagrams);
    faults_.duplicateDatagrams = json.value("duplicateDatagrams", faults_.duplicateDatagrams);
    faults_.blockForward = json.value("blockForward", faults_.blockForward);
    faults_.blockBackward = json.value("blockBackward", faults_.blockBackward);
    faults_.refuseNew = json.value("refuseNew", faults_.refuseNew);
    faults_.silenceGeneration += json.value("silence", false) ? 1U : 0U;
    faults_.cutGeneration += json.value("cut", false) ? 1U : 0U;
    return true;
}

} // namespace FaultProxy
