#pragma once

#include "clementinebeam/kernel/identifiers.h"

#include <random>

namespace clementinebeam {

/// Pseudo-random number generator.
using random_source = std::mt19937_64;

/// @param random the random number generator.
/// @return a random record id.
inline record_id newRecordId(random_source &random)
{
    const std::uint64_t high = random();
    const std::uint64_t low = random();
    return {high, low};
}

/// @return a generator seeded from the operating system's random device.
inline random_source makeSystemSeededSource()
{
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device()};
    return random_source(seed);
}

} // namespace clementinebeam
