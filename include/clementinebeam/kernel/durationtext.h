#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace clementinebeam {

/// @param text a number and its unit, such as "1500ms" or "2.5s".
/// @return the time, or nothing if the text is none.
std::optional<std::chrono::milliseconds> parseDuration(std::string_view text);

/// @param value a time.
/// @return it as text, such as "1500ms".
std::string durationText(std::chrono::milliseconds value);

} // namespace clementinebeam
