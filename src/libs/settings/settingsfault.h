#pragma once

#include <string>
#include <vector>

namespace LaburnumFlow::Settings {

/// One fault of a settings text.
struct SettingsFault {
    std::string path; ///< Path of the key, such as "kinds.fold-plan.limitMs"; empty for the whole text
    int line = 0; ///< From 1; 0 if the fault has no position in the text
    int column = 0; ///< From 1, in characters; 0 if the fault has no position in the text
    std::string problem; ///< What is wrong, with the value found
    std::string accepted; ///< Accepted range, values or form; empty if the problem says it

    bool operator==(const SettingsFault &) const = default;
};

/// All faults of a settings text in the order of their positions. Error type of all parse functions of this library.
struct SettingsFaults {
    std::vector<SettingsFault> faults;
};

} // namespace LaburnumFlow::Settings
