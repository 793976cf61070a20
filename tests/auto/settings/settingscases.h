#pragma once

#include "settings/settingsfault.h"

#include <boost/leaf.hpp>
#include <cppunit/TestAssert.h>

#include <fstream>
#include <sstream>
#include <string>

/// Helpers for tables of faulty settings texts.
namespace LaburnumFlow::Settings {

/// A settings text and its expected faults, as "LINE:COLUMN PATH" joined by "; ".
struct FaultCase {
    std::string yaml;
    std::string faults;
    std::string accepted; ///< Expected accepted range of the first fault; not checked if empty
};

/// Returns the faults with which parse fails, or none if it succeeds.
template<class Parse>
SettingsFaults collectFaults(Parse parse)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<SettingsFaults> {
            auto parsed = parse();
            if (!parsed) {
                return parsed.error();
            }
            return SettingsFaults{};
        },
        [](const SettingsFaults &faults) { return faults; },
        [] {
            CPPUNIT_FAIL("an error of another type");
            return SettingsFaults{};
        });
}

inline std::string formatPositions(const SettingsFaults &faults)
{
    std::string positions;
    for (const SettingsFault &fault : faults.faults) {
        positions += (positions.empty() ? "" : "; ") + std::to_string(fault.line) + ":" + std::to_string(fault.column) + " " + fault.path;
    }
    return positions;
}

/// Checks the faults of one case. parse takes the text.
template<class Parse>
void checkCase(const FaultCase &expected, Parse parse)
{
    const SettingsFaults faults = collectFaults([&] { return parse(expected.yaml); });
    CPPUNIT_ASSERT_EQUAL_MESSAGE(expected.yaml, expected.faults, formatPositions(faults));
    if (!expected.accepted.empty()) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(expected.yaml, expected.accepted, faults.faults.front().accepted);
    }
}

inline std::string readExample(const std::string &name)
{
    std::ifstream file(std::string(EXAMPLES_DIR "/") + name);
    CPPUNIT_ASSERT_MESSAGE(name, file.is_open());
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace LaburnumFlow::Settings
