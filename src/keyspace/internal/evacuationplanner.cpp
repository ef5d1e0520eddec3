#include "internal/evacuationplanner.h"

#include "internal/holderload.h"

namespace clementinebeam {

namespace {

/// A range is not split for a remainder below this share of the part that fits.
constexpr double MIN_REMAINDER = 0.15;

/// A range to be moved.
struct evacuated_range {
    key_range keys;
    target_id owner;
    double load = 0.0;
    bool isHot = false; ///< The load is the recent rate, as for holder_load.
};

/// Keys to be moved, and the time until which they have to be.
struct evacuated_keys {
    std::vector<evacuated_range> ranges; ///< Those with most load first.
    double load = 0.0;
    instant end = instant::max();
};

evacuated_keys evacuatedKeys(const std::vector<key_holder> &holders,
                             const std::vector<range_assignment> &settled, const key_load &load)
{
    std::map<target_id, instant> ends;
    for (const auto &holder : holders) {
        if (holder.evacuateBy)
            ends.emplace(holder.id, *holder.evacuateBy);
    }
    evacuated_keys result;
    if (ends.empty())
        return result;
    for (const auto &assignment : settled) {
        const auto end = ends.find(assignment.target);
        if (end == ends.end())
            continue;
        const auto measured = measureWindow(assignment.keys, load);
        const holder_load rates{nullptr, measured.recent, measured.steady, assignment.keys.size()};
        result.ranges.push_back({assignment.keys, assignment.target, rates.load(), rates.isHot()});
        result.load += rates.load();
        result.end = std::min(result.end, end->second);
    }
    std::sort(result.ranges.begin(), result.ranges.end(),
              [](const auto &left, const auto &right) { return left.load > right.load; });
    return result;
}

/// @return the spare capacity of the targets that stay once they have taken over all keys.
double finalSpare(const load_table &table, double evacuatedLoad)
{
    double spare = -evacuatedLoad;
    double units = 0.0;
    for (const auto &[id, item] : table) {
        spare += item.capacity() - item.load();
        units += item.spareUnit();
    }
    return spare / units;
}

/// @return the first keys of a range, with at most the given load but at least one.
key_range firstKeys(const evacuated_range &range, double amount, const key_load &load)
{
    if (range.load <= amount * (1.0 + MIN_REMAINDER))
        return range.keys;
    key_range part{range.keys.first, range.keys.first};
    double sum = keyLoad(load, part.first, range.isHot);
    while (part.last < range.keys.last) {
        sum += keyLoad(load, part.last + 1, range.isHot);
        if (sum > amount)
            break;
        ++part.last;
    }
    return part;
}

} // namespace

std::vector<range_move> planEvacuation(const std::vector<key_holder> &holders,
                                       const std::vector<key_holder> &available,
                                       const std::vector<range_assignment> &settled,
                                       const std::vector<range_assignment> &moving,
                                       const key_load &load, instant now)
{
    std::vector<range_move> moves;
    auto evacuated = evacuatedKeys(holders, settled, load);
    if (evacuated.ranges.empty() || available.empty())
        return moves;
    auto table = loadTableOf(available, settled, load);
    addLoads(table, moving, load);
    const double spare = finalSpare(table, evacuated.load);
    const std::chrono::duration<double> timeLeft =
            std::max<instant::duration>(instant::duration(0), evacuated.end - now);
    const double rounds = 1.0 + std::floor(timeLeft / EVACUATION_INTERVAL);
    double quota = evacuated.load / rounds;
    for (auto &range : evacuated.ranges) {
        while (quota > 0.0 && range.keys.first <= range.keys.last) {
            auto &destination =
                    std::max_element(table.begin(), table.end(), [](const auto &a, const auto &b) {
                        return a.second.spare() < b.second.spare();
                    })->second;
            const auto part = firstKeys(range, -destination.excessOver(spare), load);
            const auto measured = measureWindow(part, load);
            const double moved = range.isHot ? measured.recent : measured.steady;
            destination.recent += measured.recent;
            destination.steady += measured.steady;
            destination.keys += part.size();
            moves.push_back({part, range.owner, destination.holder->id});
            quota -= moved;
            range.load -= moved;
            range.keys.first = part.last + 1;
        }
    }
    return moves;
}

} // namespace clementinebeam
