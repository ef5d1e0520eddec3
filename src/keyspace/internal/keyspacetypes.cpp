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

bool isProved(const range_assignment &assignment, std::uint64_t term)
{
    return eraOf(assignment.grantTerm) >= eraOf(term);
}

ownership_record claimOf(const ownership_record &known, const claim_context &context)
{
    auto claim = known;
    // A store that has come back from an older copy may also lack the grants of all keys.
    if (claim.ranges.empty() && (known.term != 0 || !context.isFirstStart))
        claim.ranges.push_back({{}, {}, 0, 0, known.term});
    claim.term = raisedTo(context.era, known.term) + 1;
    claim.nextFence = raisedTo(context.era, known.nextFence);
    claim.coordinator = context.coordinator;
    claim.coordinatorRun = context.coordinatorRun;
    for (auto &range : claim.ranges) {
        range.fence = claim.nextFence;
        if (isProved(range, claim.term) && context.isLive(range.target))
            range.grantTerm = claim.term;
    }
    ++claim.nextFence;
    return claim;
}

bool isConsistent(const ownership_record &record)
{
    const bool isInRange = record.term <= MAX_NUMBER && record.nextFence <= MAX_NUMBER;
    return isInRange && (record.ranges.empty() || coverAllKeys(record.ranges));
}

} // namespace clementinebeam
