#include "clementinebeam/kernel/durationtext.h"

#include <charconv>
#include <cmath>

namespace clementinebeam {

namespace {

/// Longest duration accepted, in milliseconds (24 hours); longer values are treated as corrupt.
constexpr double MAX_DURATION_MS = 86'400'000.0;

} // namespace

std::optional<std::chrono::milliseconds> parseDuration(std::string_view text)
{
    double millisecondsPerUnit = 0.0;
    if (text.ends_with("ms")) {
        millisecondsPerUnit = 1.0;
        text.remove_suffix(2);
    } else if (text.ends_with('s')) {
        millisecondsPerUnit = 1000.0;
        text.remove_suffix(1);
    }
    double number = 0.0;
    const auto *end = text.data() + text.size();
    const auto [numberEnd, error] = std::from_chars(text.data(), end, number);
    const bool isNumber = error == std::errc{} && numberEnd == end && std::isfinite(number);
    if (millisecondsPerUnit == 0.0 || !isNumber || number < 0.0
        || number * millisecondsPerUnit > MAX_DURATION_MS)
        return std::nullopt;
    return std::chrono::milliseconds(std::llround(number * millisecondsPerUnit));
}

std::string formatDuration(std::chrono::milliseconds value)
{
    return std::to_string(value.count()) + "ms";
}

} // namespace clementinebeam
