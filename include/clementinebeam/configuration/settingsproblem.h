#pragma once

#include <string>
#include <vector>

namespace clementinebeam {

/// One fault in a settings document.
struct settings_problem {
    std::string path; ///< Path of the field, such as "services.orders.slots".
    std::string expected;
    std::string found;

    /// @return one line for people.
    std::string text() const { return path + ": expected " + expected + ", found " + found; }
};

using settings_problems = std::vector<settings_problem>;

} // namespace clementinebeam
