#include "clementinebeam/keyspace/keyspacetypes.h"

namespace clementinebeam {

namespace {

/// Terms and tokens count up from 1. A larger one is damage, and adding to it might start again at
/// 0.
constexpr std::uint64_t MAX_NUMBER = 1ULL << 62U;

bool coverAllKeys(const std::vector<range_assignment> &ranges)
{
    std::size_t next = 0;
    for (const auto &range : ranges) {
        if (range.keys.first != next || range.keys.last < range.keys.first
            || range.keys.last > LAST_KEY)
            return false;
        next = range.keys.first + range.keys.size();
    }
    return next == KEY_COUNT;
}

} // namespace

bool isConsistent(const ownership_record &record)
{
    const bool isInRange = record.term <= MAX_NUMBER && record.nextFence <= MAX_NUMBER;
    return isInRange && (record.ranges.empty() || coverAllKeys(record.ranges));
}

} // namespace clementinebeam
