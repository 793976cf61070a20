#pragma once

#include <string>
#include <vector>

namespace LaburnumFlow::Settings {

/// One thing wrong in a settings text.
struct SettingsFault {
    std::string path; ///< such as "kinds.fold-plan.limitMs"
    int line = 0; ///< from 1; 0 if there is no place in the text
    int column = 0; ///< from 1
    std::string problem; ///< what is wrong
    std::string accepted; ///< the accepted range or values; empty if there is none to name

    bool operator==(const SettingsFault &) const = default;
};

/// All faults of a settings text, in the order of the text. The error type of every parse function here.
struct SettingsFaults {
    std::vector<SettingsFault> faults;
};

} // namespace LaburnumFlow::Settings
