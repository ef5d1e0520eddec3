#include "clementinebeam/keyspace/rangeplanner.h"

#include "internal/movecandidates.h"

#include <set>

namespace clementinebeam {

namespace {

/// Excess over the balanced load from which a target gives keys away, as a share of its capacity.
constexpr double MIN_EXCESS = 0.12;
/// A target that gives keys away goes on until its excess is below this share of its capacity.
constexpr double REMAINING_EXCESS = 0.05;
/// Utilisation up to which an imbalance is tolerated.
constexpr double TOLERATED_UTILISATION = 0.35;
/// Largest number of keys in a narrow range.
constexpr std::size_t MAX_NARROW_WIDTH = 256;
/// Smallest excess over the balanced load, in standard deviations of the measured rate.
constexpr double MIN_DEVIATIONS = 1.5;
/// Shortest time over which a rate is taken as measured.
constexpr std::chrono::duration<double> MIN_WINDOW{0.1};
/// Requests a second below which a narrow range counts as idle.
constexpr double IDLE_RATE = 0.5;
constexpr std::size_t MAX_CONSOLIDATIONS = 12;
/// A move has to raise the lower spare capacity of the two targets by this much, in spare units.
constexpr double MIN_GAIN = 0.1;

/// A saturating key is moved only to a target that is faster by this factor, as estimates of the
/// capacity vary.
constexpr double MIN_SPEEDUP = 1.5;

holder_load *leastLoaded(load_table &table)
{
    holder_load *best = nullptr;
    for (auto &[id, item] : table) {
        if (!best || item.spare() > best->spare())
            best = &item;
    }
    return best;
}

/// @param skipped targets for which no useful move was found.
holder_load *mostLoaded(load_table &table, const std::set<target_id> &skipped)
{
    holder_load *best = nullptr;
    for (auto &[id, item] : table) {
        if (skipped.contains(id))
            continue;
        if (!best || item.spare() < best->spare())
            best = &item;
    }
    return best;
}

/// @param skipped targets for which no useful move was found; they are left out, as their load
/// can't be distributed.
double balancedSpare(const load_table &table, const std::set<target_id> &skipped)
{
    double spare = 0.0;
    double units = 0.0;
    for (const auto &[id, item] : table) {
        if (skipped.contains(id))
            continue;
        spare += item.capacity() - item.load();
        units += item.spareUnit();
    }
    return units > 0.0 ? spare / units : 0.0;
}

/// Replaces the target of some keys, which lie in one range, and splits that range as needed.
void reassign(std::vector<range_assignment> &ranges, const key_range &keys, const target_id &target)
{
    const auto found = std::find_if(ranges.begin(), ranges.end(), [&](const auto &range) {
        return range.keys.contains(keys.first);
    });
    if (found == ranges.end())
        return;
    auto left = *found;
    auto right = *found;
    left.keys.last = keys.first - 1;
    right.keys.first = keys.last + 1;
    const bool hasLeft = found->keys.first < keys.first;
    const bool hasRight = found->keys.last > keys.last;
    found->keys = keys;
    found->target = target;
    const auto next = hasLeft ? ranges.insert(found, std::move(left)) + 2 : found + 1;
    if (hasRight)
        ranges.insert(next, std::move(right));
}

/// @return the standard deviation of a target's measured rate if requests arrive independently.
double standardDeviation(const holder_load &item, const key_load &load)
{
    const auto window = item.isHot() ? load.recentWindow() : load.steadyWindow();
    return std::sqrt(std::max(0.0, item.load()) / std::max(MIN_WINDOW, window).count());
}

bool isImbalanced(const holder_load &source, double spare, const key_load &load)
{
    const double excess = source.excessOver(spare);
    return excess > MIN_DEVIATIONS * standardDeviation(source, load)
            && excess > MIN_EXCESS * source.capacity()
            && source.utilisation() > TOLERATED_UTILISATION;
}

/// @return the target that can run most requests of a key that saturates its present one: it is
///     faster by MIN_SPEEDUP and has no such key itself; null if there is none.
holder_load *fasterTarget(load_table &table, const holder_load &source,
                          const std::vector<range_assignment> &ranges, const key_load &load)
{
    std::vector<holder_load *> faster;
    for (auto &[id, item] : table) {
        if (item.holder->capacity >= source.holder->capacity * MIN_SPEEDUP)
            faster.push_back(&item);
    }
    std::sort(faster.begin(), faster.end(), [](const auto *left, const auto *right) {
        return left->holder->capacity > right->holder->capacity;
    });
    const auto best = std::find_if(faster.begin(), faster.end(), [&](const auto *item) {
        return !saturatingKey(*item, ranges, load);
    });
    return best == faster.end() ? nullptr : *best;
}

/// Picks keys to move away from the target of a saturating key, as many as the other target has
/// headroom for.
std::optional<window> otherKeysToMove(key_number stayingKey, const holder_load &source,
                                      double headroom, std::vector<range_assignment> ranges,
                                      const key_load &load)
{
    reassign(ranges, {stayingKey, stayingKey}, {});
    const double others = source.load() - keyLoad(load, stayingKey, source.isHot());
    return keysToMove(source, std::min(others, headroom), true, ranges, load);
}

/// Picks keys whose move lowers the higher utilisation of the two targets.
std::optional<window> excessKeys(const holder_load &source, const holder_load &other, double amount,
                                 const std::vector<range_assignment> &ranges, const key_load &load)
{
    const auto found = amount > 0.0 ? keysToMove(source, amount, false, ranges, load)
                                    : std::optional<window>();
    if (!found)
        return std::nullopt;
    auto newSource = source;
    auto newOther = other;
    transferLoad(newSource, newOther, *found);
    const double after = std::min(newSource.spare(), newOther.spare());
    return after < source.spare() + MIN_GAIN ? std::nullopt : found;
}

/// Moves keys in the table and in the list of assignments.
range_move apply(const window &item, holder_load &from, holder_load &to,
                 std::vector<range_assignment> &ranges)
{
    transferLoad(from, to, item);
    reassign(ranges, item.keys, to.holder->id);
    return {item.keys, from.holder->id, to.holder->id};
}

bool isIdle(const load_table &table)
{
    double rate = 0.0;
    for (const auto &[id, item] : table)
        rate += item.load();
    return rate < BASE_LOAD * KEY_COUNT + IDLE_RATE;
}

/// Moves keys to targets without any while there are no requests, so that all targets have their
/// share when these come: targets that start together are listed one after the other, and the
/// first ones get all keys.
std::vector<range_move> spreadIdleKeys(load_table &table, std::vector<range_assignment> ranges,
                                       const key_load &load)
{
    std::vector<range_move> moves;
    const auto share = KEY_COUNT / std::max<std::size_t>(1, table.size());
    for (auto &[id, item] : table) {
        if (item.keys > 0 || moves.size() >= range_planner::MAX_ATTEMPTS)
            continue;
        auto widest = std::max_element(ranges.begin(), ranges.end(),
                                       [](const auto &left, const auto &right) {
                                           return left.keys.size() < right.keys.size();
                                       });
        const auto size = widest == ranges.end() ? 0 : std::min(share, widest->keys.size() / 2);
        const auto source = widest == ranges.end() ? table.end() : table.find(widest->target);
        // Ranges of about one share stay whole.
        if (source == table.end() || size < (share + 1) / 2)
            break;
        const key_range keys{static_cast<key_number>(widest->keys.last - size + 1),
                             widest->keys.last};
        moves.push_back(apply(measureWindow(keys, load), source->second, item, ranges));
    }
    return moves;
}

/// Plans one move away from a target: of a saturating key to a faster target, or else of other keys
/// to the least loaded one.
std::optional<range_move> planMove(load_table &table, holder_load &source, holder_load &destination,
                                   double spare, std::vector<range_assignment> &ranges,
                                   const key_load &load)
{
    if (&source == &destination)
        return std::nullopt;
    const auto hotKey = saturatingKey(source, ranges, load);
    if (hotKey) {
        if (auto *faster = fasterTarget(table, source, ranges, load))
            return apply(measureWindow({*hotKey, *hotKey}, load), source, *faster, ranges);
    }
    const bool isNewTarget = destination.keys == 0;
    const double excess = source.excessOver(spare);
    const double headroom = -destination.excessOver(spare);
    const double amount = isNewTarget ? std::max(excess, source.load() / 2) : excess;
    const auto found = hotKey
            ? otherKeysToMove(*hotKey, source, headroom, ranges, load)
            : excessKeys(source, destination, std::min(amount, headroom), ranges, load);
    if (!found)
        return std::nullopt;
    return apply(*found, source, destination, ranges);
}

} // namespace

std::vector<range_move> range_planner::rebalance(const std::vector<key_holder> &holders,
                                                 const std::vector<range_assignment> &ranges,
                                                 const std::vector<range_assignment> &moving,
                                                 const key_load &load) const
{
    auto table = loadTableOf(holders, ranges, load);
    addLoads(table, moving, load);
    if (isIdle(table))
        return spreadIdleKeys(table, ranges, load);
    auto planned = ranges;
    std::vector<range_move> moves;
    std::set<target_id> skipped;
    std::set<target_id> unloading;
    for (std::size_t attempt = 0; attempt < MAX_ATTEMPTS; ++attempt) {
        auto *source = mostLoaded(table, skipped);
        if (!source)
            break;
        auto &destination = *leastLoaded(table);
        const double spare = balancedSpare(table, skipped);
        const auto &id = source->holder->id;
        const bool mustUnload = unloading.contains(id)
                ? source->excessOver(spare) > REMAINING_EXCESS * source->capacity()
                : isImbalanced(*source, spare, load);
        if (!mustUnload && destination.keys > 0)
            break;
        unloading.insert(id);
        const auto move = planMove(table, *source, destination, spare, planned, load);
        if (move)
            moves.push_back(*move);
        else
            skipped.insert(source->holder->id);
    }
    return moves;
}

std::vector<range_move> range_planner::consolidate(const std::vector<range_assignment> &ranges,
                                                   const key_load &load) const
{
    std::vector<range_move> moves;
    target_id neighbour;
    for (const auto &range : ranges) {
        const bool isNarrow = range.keys.size() <= MAX_NARROW_WIDTH;
        if (neighbour.empty() || !isNarrow || range.target == neighbour) {
            neighbour = range.target;
            continue;
        }
        const auto item = measureWindow(range.keys, load);
        if (item.recent > IDLE_RATE || item.steady > IDLE_RATE) {
            neighbour = range.target;
            continue;
        }
        // The range is moved to the preceding owner, which stays the neighbour of the next range.
        moves.push_back({range.keys, range.target, neighbour});
        if (moves.size() >= MAX_CONSOLIDATIONS)
            break;
    }
    return moves;
}

std::vector<range_move> range_planner::assignUnowned(const std::vector<key_holder> &holders,
                                                     const std::vector<range_assignment> &ranges,
                                                     const key_load &load) const
{
    auto table = loadTableOf(holders, ranges, load);
    std::vector<range_move> moves;
    if (table.empty())
        return moves;
    const auto maxSize = (KEY_COUNT + table.size() - 1) / table.size();
    for (const auto &range : ranges) {
        if (!range.target.empty())
            continue;
        const auto pieces = (range.keys.size() + maxSize - 1) / maxSize;
        for (std::size_t piece = 0; piece < pieces; ++piece) {
            const auto size = range.keys.size();
            const key_range keys{
                    static_cast<key_number>(range.keys.first + size * piece / pieces),
                    static_cast<key_number>(range.keys.first + size * (piece + 1) / pieces - 1)};
            auto *target = leastLoaded(table);
            const auto item = measureWindow(keys, load);
            target->recent += item.recent;
            target->steady += item.steady;
            target->keys += keys.size();
            moves.push_back({keys, {}, target->holder->id});
        }
    }
    return moves;
}

} // namespace clementinebeam
