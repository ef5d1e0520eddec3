#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace clementinebeam {

/// @param text a non-negative decimal number and the unit "ms" or "s", such as "1500ms" or "2.5s".
/// @return the duration, rounded to milliseconds, or nothing if the text is malformed or names more
///         than 24 hours.
std::optional<std::chrono::milliseconds> parseDuration(std::string_view text);

/// @param value a duration.
/// @return its text in milliseconds, such as "1500ms".
std::string formatDuration(std::chrono::milliseconds value);

} // namespace clementinebeam
