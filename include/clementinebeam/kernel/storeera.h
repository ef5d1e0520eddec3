#pragma once

#include <algorithm>
#include <chrono>
#include <compare>
#include <cstdint>

namespace clementinebeam {

/// Counts how often the store has come back from an older copy, without what was written since the
/// copy. Offsets are given out again after a return, so they mean something only within one era.
enum class store_era : std::uint64_t {};

/// Operators and targets write again what the store has lost within this time after its return.
/// What is still missing then is gone.
constexpr std::chrono::milliseconds REWRITE_TIME{2200};

/// Number of bits of a number that count within one era, see firstNumberOf().
constexpr unsigned ERA_COUNTER_BITS = 32;

/// Largest era that can be used: numbers of it stay below 2^53, so that they are exact in JSON.
constexpr store_era LAST_ERA{(1ULL << (53U - ERA_COUNTER_BITS)) - 1};

/// @param era an era up to LAST_ERA.
/// @return the era as a number, for logs, metrics and messages.
constexpr std::uint64_t numberOf(store_era era)
{
    return static_cast<std::uint64_t>(era);
}

/// Numbers that have to rise over all eras, such as terms and fencing tokens, hold the era in their
/// upper bits: a record of the store may have forgotten how many were given out, but all numbers of
/// an era are above those of earlier ones.
/// @param era an era up to LAST_ERA.
/// @return the lowest number of the era; the number before the first one that is given out.
constexpr std::uint64_t firstNumberOf(store_era era)
{
    return numberOf(era) << ERA_COUNTER_BITS;
}

/// @return the era in which a number was given out.
constexpr store_era eraOf(std::uint64_t number)
{
    return store_era{number >> ERA_COUNTER_BITS};
}

/// @return the number, or the lowest one of the era if the number is of an earlier era.
constexpr std::uint64_t raisedTo(store_era era, std::uint64_t number)
{
    return std::max(number, firstNumberOf(era));
}

/// A place in a stream of the store. One of a later era is newer, whatever its offset: what the
/// store had at that offset before may be something else.
struct store_position {
    store_era era{};
    std::uint64_t offset = 0;

    auto operator<=>(const store_position &) const = default;
};

} // namespace clementinebeam
