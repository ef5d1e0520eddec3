#pragma once

#include <string>
#include <vector>

namespace clementinebeam {

/// One error in a settings document.
struct settings_problem {
    std::string path;     ///< Path of the field, such as "services.orders.slots".
    std::string expected; ///< The values that the field accepts.
    std::string found;    ///< The value in the document, shortened.

    /// @return a human-readable line: path, expected and found.
    std::string text() const { return path + ": expected " + expected + ", found " + found; }
};

using settings_problems = std::vector<settings_problem>;

} // namespace clementinebeam
