#include "clementinebeam/keyspace/rangeplanner.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <set>

namespace clementinebeam {

namespace {

/// Load added to each key, so that ranges without requests are spread evenly.
constexpr double BASE_LOAD = 1.0 / KEY_COUNT;
/// Excess over the balanced load from which a target gives keys away, as a share of its capacity.
constexpr double MIN_EXCESS = 0.12;
/// A target that gives keys away goes on until its excess is below this share of its capacity.
constexpr double REMAINING_EXCESS = 0.05;
/// Utilisation up to which an imbalance is tolerated.
constexpr double TOLERATED_UTILISATION = 0.35;
/// The recent load counts as a spike if it exceeds the steady load by this factor and this many
/// requests a second.
constexpr double HOT_RATIO = 1.3;
constexpr double HOT_EXCESS = 5.0;
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

/// Share of a target's capacity from which a single key saturates it.
constexpr double SATURATION_SHARE = 0.8;
/// A saturating key is moved only to a target that is faster by this factor, as estimates of the
/// capacity vary.
constexpr double MIN_SPEEDUP = 1.5;

/// Smallest load to move away from the target of a saturating key, as a share of its capacity.
constexpr double MIN_MOVED_SHARE = 0.05;

/// A part with this share of the load of the best one is chosen if it has fewer keys.
constexpr double SUFFICIENT_SHARE = 0.7;
/// Ratio of all keys to busy ones from which only the busy ones move.
constexpr std::size_t MIN_IDLE_RATIO = 4;

/// Load of one target while moves are planned.
struct holder_load {
    const key_holder *holder = nullptr;
    double recent = 0.0;
    double steady = 0.0;
    std::size_t keys = 0;

    bool isHot() const { return recent > steady * HOT_RATIO + HOT_EXCESS; }
    double load() const { return isHot() ? recent : steady; }
    double capacity() const { return std::max(0.001, holder->capacity); }
    double utilisation() const { return load() / capacity(); }
    /// Unit in which the spare capacity of different targets is compared. Spare capacity in
    /// proportion to the square root of the capacity gives the shortest mean wait over all targets:
    /// fast ones are used more than slow ones.
    double spareUnit() const { return std::sqrt(capacity()); }
    /// Unused capacity, in units of spareUnit().
    double spare() const { return (capacity() - load()) / spareUnit(); }
    /// Load beyond that at which the target has the given spare capacity; negative if it has more.
    double excessOver(double balancedSpare) const
    {
        return load() - std::max(0.0, capacity() - balancedSpare * spareUnit());
    }
};

using load_table = std::map<target_id, holder_load>;

double keyLoad(const key_load &load, key_number key, bool useRecentRate)
{
    return BASE_LOAD + (useRecentRate ? load.recent(key) : load.steady(key));
}

void addLoads(load_table &table, const std::vector<range_assignment> &ranges, const key_load &load)
{
    for (const auto &range : ranges) {
        const auto found = table.find(range.target);
        if (found == table.end())
            continue;
        auto &item = found->second;
        item.keys += range.keys.size();
        for (key_number key = range.keys.first; key <= range.keys.last; ++key) {
            item.recent += keyLoad(load, key, true);
            item.steady += keyLoad(load, key, false);
        }
    }
}

load_table loadTableOf(const std::vector<key_holder> &holders,
                       const std::vector<range_assignment> &ranges, const key_load &load)
{
    load_table table;
    for (const auto &holder : holders) {
        if (!holder.isLeaving)
            table[holder.id].holder = &holder;
    }
    addLoads(table, ranges, load);
    return table;
}

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

struct window {
    key_range keys;
    double recent = 0.0;
    double steady = 0.0;
};

window measureWindow(const key_range &keys, const key_load &load)
{
    window result{keys, 0.0, 0.0};
    for (key_number key = keys.first; key <= keys.last; ++key) {
        result.recent += keyLoad(load, key, true);
        result.steady += keyLoad(load, key, false);
    }
    return result;
}

/// @return the longest part of a range, from its first or from its last key on, that carries at
/// most
///     the given load; none if its outermost key carries more.
std::optional<key_range> cutFromEdge(const key_range &range, const key_load &load,
                                     bool useRecentRate, double amount, bool isFirstEdge)
{
    double sum = 0.0;
    std::size_t count = 0;
    for (; count < range.size(); ++count) {
        const auto offset = static_cast<key_number>(count);
        const auto key = isFirstEdge ? range.first + offset : range.last - offset;
        sum += keyLoad(load, key, useRecentRate);
        if (sum > amount)
            break;
    }
    if (count == 0)
        return std::nullopt;
    const auto width = static_cast<key_number>(count - 1);
    return isFirstEdge ? key_range{range.first, range.first + width}
                       : key_range{range.last - width, range.last};
}

/// Leaves out the outer keys of a part to be moved that have no requests, if these are most of it.
/// During a load spike on a few neighbouring keys, only these move.
key_range withoutIdleEdges(const key_range &keys, const key_load &load)
{
    auto busy = keys;
    while (busy.size() > 1 && load.recent(busy.first) <= 0.0)
        ++busy.first;
    while (busy.size() > 1 && load.recent(busy.last) <= 0.0)
        --busy.last;
    return busy.size() * MIN_IDLE_RATIO <= keys.size() ? busy : keys;
}

/// Picks keys to move from the edges of a target's ranges: of the parts with most load up to the
/// given one, that with the fewest keys. Cutting at edges keeps the number of
/// ranges low, and unlike the busiest keys of a short observation their load is not overestimated.
/// @param movesIdleKeys whether idle keys next to the busy ones move as well.
std::optional<window> keysToMove(const holder_load &source, double amount, bool movesIdleKeys,
                                 const std::vector<range_assignment> &ranges, const key_load &load)
{
    std::vector<window> cuts;
    const bool useRecentRate = source.isHot();
    const auto loadOf = [&](const window &item) {
        return useRecentRate ? item.recent : item.steady;
    };
    double mostLoad = 0.0;
    for (const auto &range : ranges) {
        if (range.target != source.holder->id)
            continue;
        for (const bool isFirstEdge : {true, false}) {
            const auto keys = cutFromEdge(range.keys, load, useRecentRate, amount, isFirstEdge);
            if (!keys)
                continue;
            const auto item =
                    measureWindow(movesIdleKeys ? *keys : withoutIdleEdges(*keys, load), load);
            cuts.push_back(item);
            mostLoad = std::max(mostLoad, loadOf(item));
        }
    }
    if (mostLoad < MIN_MOVED_SHARE * source.holder->capacity)
        return std::nullopt;
    const window *best = nullptr;
    for (const auto &cut : cuts) {
        if (loadOf(cut) >= SUFFICIENT_SHARE * mostLoad
            && (!best || cut.keys.size() < best->keys.size()))
            best = &cut;
    }
    return *best;
}

void transferLoad(holder_load &from, holder_load &to, const window &item)
{
    from.recent -= item.recent;
    from.steady -= item.steady;
    from.keys -= item.keys.size();
    to.recent += item.recent;
    to.steady += item.steady;
    to.keys += item.keys.size();
}

/// Replaces the target of some keys in a list of assignments, splitting ranges as needed.
void reassign(std::vector<range_assignment> &ranges, const key_range &keys, const target_id &target)
{
    std::vector<range_assignment> result;
    for (const auto &range : ranges) {
        if (!range.keys.overlaps(keys)) {
            result.push_back(range);
            continue;
        }
        if (range.keys.first < keys.first) {
            result.push_back(range);
            result.back().keys.last = keys.first - 1;
        }
        if (range.keys.contains(keys.first)) {
            result.push_back(range);
            result.back().keys = keys;
            result.back().target = target;
        }
        if (range.keys.last > keys.last) {
            result.push_back(range);
            result.back().keys.first = keys.last + 1;
        }
    }
    ranges = std::move(result);
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

/// @return the key of a target with the highest load, if it owns any.
std::optional<key_number> heaviestKey(const holder_load &item,
                                      const std::vector<range_assignment> &ranges,
                                      const key_load &load)
{
    std::optional<key_number> heaviest;
    double maxRate = 0.0;
    for (const auto &range : ranges) {
        if (range.target != item.holder->id)
            continue;
        for (key_number key = range.keys.first; key <= range.keys.last; ++key) {
            const double rate = keyLoad(load, key, item.isHot());
            if (rate > maxRate) {
                heaviest = key;
                maxRate = rate;
            }
        }
    }
    return heaviest;
}

/// @return the key of a target that takes most of its capacity by itself, if there is one.
std::optional<key_number> saturatingKey(const holder_load &item,
                                        const std::vector<range_assignment> &ranges,
                                        const key_load &load)
{
    const auto key = heaviestKey(item, ranges, load);
    const bool saturates =
            key && keyLoad(load, *key, item.isHot()) >= SATURATION_SHARE * item.holder->capacity;
    return saturates ? key : std::nullopt;
}

/// @return the target that can run most requests of a key that saturates its present one: it is
///     faster by MIN_SPEEDUP and has no such key itself; null if there is none.
holder_load *fasterTarget(load_table &table, const holder_load &source,
                          const std::vector<range_assignment> &ranges, const key_load &load)
{
    holder_load *best = nullptr;
    double leastCapacity = source.holder->capacity * MIN_SPEEDUP;
    for (auto &[id, item] : table) {
        if (item.holder->capacity < leastCapacity || saturatingKey(item, ranges, load))
            continue;
        best = &item;
        leastCapacity = item.holder->capacity;
    }
    return best;
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
    auto planned = ranges;
    std::vector<range_move> moves;
    std::set<target_id> skipped;
    std::set<target_id> unloading;
    while (moves.size() < std::max(MIN_MOVES, holders.size())) {
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
