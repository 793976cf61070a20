#pragma once

#include "settingsfault.h"

#include <boost/leaf.hpp>

#include <iosfwd>
#include <optional>
#include <string>
#include <utility>

namespace LaburnumFlow::Settings {

/// The file could not be read.
struct UnreadableSettings {
    int errorNumber = 0; ///< Value of errno, or 0 if the file is empty
};

/// Returns the text of a settings file. Fails with UnreadableSettings.
boost::leaf::result<std::string> readText(const std::string &file);

/// Prints each fault as "FILE:LINE:COLUMN: PATH: PROBLEM (ACCEPTED)".
void printFaults(std::ostream &out, const std::string &file, const SettingsFaults &faults);

/// Prints "PROGRAM: FILE: REASON".
void printUnreadable(std::ostream &out, const std::string &program, const std::string &file, const UnreadableSettings &reason);

/// Reads and parses a settings file. On failure prints the faults to errors and returns nothing.
/// parse takes the text and returns a boost::leaf::result that fails with SettingsFaults.
template<class Parsed, class Parse>
std::optional<Parsed> readSettings(std::ostream &errors, const std::string &program, const std::string &file, Parse parse)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<Parsed>> {
            BOOST_LEAF_AUTO(text, readText(file));
            BOOST_LEAF_AUTO(settings, parse(text));
            return std::optional<Parsed>(std::move(settings));
        },
        [&](const SettingsFaults &faults) -> std::optional<Parsed> {
            printFaults(errors, file, faults);
            return std::nullopt;
        },
        [&](const UnreadableSettings &reason) -> std::optional<Parsed> {
            printUnreadable(errors, program, file, reason);
            return std::nullopt;
        },
        [&]() -> std::optional<Parsed> {
            printUnreadable(errors, program, file, {});
            return std::nullopt;
        });
}

} // namespace LaburnumFlow::Settings
