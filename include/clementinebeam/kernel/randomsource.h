#pragma once

#include "clementinebeam/kernel/identifiers.h"

#include <random>

namespace clementinebeam {

using random_source = std::mt19937_64;

/// @param random source of randomness.
/// @return a new record id.
inline record_id newRecordId(random_source &random)
{
    const std::uint64_t high = random();
    const std::uint64_t low = random();
    return {high, low};
}

/// @return a source seeded from the operating system.
inline random_source makeSystemSeededSource()
{
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device()};
    return random_source(seed);
}

} // namespace clementinebeam
