#include "clementinebeam/kernel/durationtext.h"

#include <charconv>
#include <cmath>

namespace clementinebeam {

namespace {

/// Longest time that a text may name, in milliseconds; longer ones are taken as damaged.
constexpr double MAX_DURATION_MS = 86'400'000.0;

} // namespace

std::optional<std::chrono::milliseconds> parseDuration(std::string_view text)
{
    double factor = 0.0;
    if (text.ends_with("ms")) {
        factor = 1.0;
        text.remove_suffix(2);
    } else if (text.ends_with('s')) {
        factor = 1000.0;
        text.remove_suffix(1);
    }
    double number = 0.0;
    const auto *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number);
    const bool isNumber = error == std::errc{} && stop == end && std::isfinite(number);
    if (factor == 0.0 || !isNumber || number < 0.0 || number * factor > MAX_DURATION_MS)
        return std::nullopt;
    return std::chrono::milliseconds(std::llround(number * factor));
}

std::string durationText(std::chrono::milliseconds value)
{
    return std::to_string(value.count()) + "ms";
}

} // namespace clementinebeam
