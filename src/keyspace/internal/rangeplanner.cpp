#include "clementinebeam/keyspace/rangeplanner.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <set>

namespace clementinebeam {

namespace {

/// Load of a key while nothing is known; makes ranges without requests spread evenly.
constexpr double BASE_LOAD = 1.0 / KEY_COUNT;
/// Utilisation above which a target gives keys away at once.
constexpr double HIGH_UTILISATION = 0.80;
/// Ratio to the mean utilisation above which a target gives keys away.
constexpr double UNEVEN_RATIO = 1.35;
/// Utilisation below which unevenness does no harm.
constexpr double HARMLESS_UTILISATION = 0.35;
/// A hot spell has to stand out of the steady load by this factor and this many requests a second.
constexpr double HOT_RATIO = 1.3;
constexpr double HOT_EXCESS = 5.0;
/// Hot keys lie close to one another; wider windows are left to the steady load.
constexpr std::size_t MAX_HOT_WIDTH = 256;
constexpr int MAX_HALVINGS = 4;
/// Standard deviations by which a load has to stand out of its noise.
constexpr double SIGNIFICANCE = 2.5;
/// Requests a second below which a narrow range counts as idle.
constexpr double IDLE_RATE = 0.5;
constexpr std::size_t MAX_CONSOLIDATIONS = 12;
/// A move has to lower the load of the fuller of both targets to this share at least.
constexpr double USEFUL_SHARE = 0.95;

/// Share of a target's capacity from which a single key fills it.
constexpr double FILLING_SHARE = 0.8;
/// A key that fills its target gains from a move only if the other target is faster by this factor:
/// a target looks slower than it is while a key fills it.
constexpr double FASTER_TARGET = 3.0;

/// Least load, as a share of its target's capacity, that leaves the target of such a key at a time.
constexpr double MIN_MOVED_SHARE = 0.05;

/// Load of one target while moves are planned.
struct holder_load {
    const key_holder *holder = nullptr;
    double recent = 0.0;
    double steady = 0.0;
    std::size_t keys = 0;

    bool isHot() const { return recent > steady * HOT_RATIO + HOT_EXCESS; }
    double load() const { return isHot() ? recent : steady; }
    double utilisation() const { return load() / std::max(0.001, holder->capacity); }
};

using load_table = std::map<target_id, holder_load>;

double keyLoad(const key_load &load, key_number key, bool isHot)
{
    return BASE_LOAD + (isHot ? load.recent(key) : load.steady(key));
}

load_table tableOf(const std::vector<key_holder> &holders,
                   const std::vector<range_assignment> &ranges, const key_load &load)
{
    load_table table;
    for (const auto &holder : holders) {
        if (!holder.isLeaving)
            table[holder.id].holder = &holder;
    }
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
    return table;
}

holder_load *leastLoaded(load_table &table)
{
    holder_load *best = nullptr;
    for (auto &[id, item] : table) {
        if (!best || item.utilisation() < best->utilisation())
            best = &item;
    }
    return best;
}

/// @param settled targets that no move would help.
holder_load *mostLoaded(load_table &table, const std::set<target_id> &settled)
{
    holder_load *best = nullptr;
    for (auto &[id, item] : table) {
        if (settled.contains(id))
            continue;
        if (!best || item.utilisation() > best->utilisation())
            best = &item;
    }
    return best;
}

/// @param settled targets that no move would help: their load can't be shared out.
double meanUtilisation(const load_table &table, const std::set<target_id> &settled)
{
    double load = 0.0;
    double capacity = 0.0;
    for (const auto &[id, item] : table) {
        if (settled.contains(id))
            continue;
        load += item.load();
        capacity += item.holder->capacity;
    }
    return capacity > 0.0 ? load / capacity : 0.0;
}

struct window {
    key_range keys;
    double recent = 0.0;
    double steady = 0.0;
};

window measured(const key_range &keys, const key_load &load)
{
    window result{keys, 0.0, 0.0};
    for (key_number key = keys.first; key <= keys.last; ++key) {
        result.recent += keyLoad(load, key, true);
        result.steady += keyLoad(load, key, false);
    }
    return result;
}

/// Narrowest window of a range that carries at least a certain load.
std::optional<key_range> narrowestWindow(const key_range &range, const key_load &load, bool isHot,
                                         double amount)
{
    std::optional<key_range> best;
    double sum = 0.0;
    key_number start = range.first;
    for (key_number end = range.first; end <= range.last; ++end) {
        sum += keyLoad(load, end, isHot);
        while (start < end && sum - keyLoad(load, start, isHot) >= amount) {
            sum -= keyLoad(load, start, isHot);
            ++start;
        }
        if (sum >= amount && (!best || end - start + 1 < best->size()))
            best = key_range{start, end};
    }
    return best;
}

std::optional<window> bestWindow(const target_id &owner, bool isHot, double amount,
                                 const std::vector<range_assignment> &ranges, const key_load &load)
{
    std::optional<key_range> best;
    for (const auto &range : ranges) {
        if (range.target != owner)
            continue;
        const auto found = narrowestWindow(range.keys, load, isHot, amount);
        if (found && (!best || found->size() < best->size()))
            best = found;
    }
    if (!best)
        return std::nullopt;
    return measured(*best, load);
}

/// Picks what to move: in a hot spell a narrow window, even if it carries only part of the excess.
std::optional<window> windowFor(const holder_load &full, double amount,
                                const std::vector<range_assignment> &ranges, const key_load &load)
{
    auto found = bestWindow(full.holder->id, full.isHot(), amount, ranges, load);
    for (int halving = 0; full.isHot() && halving < MAX_HALVINGS; ++halving) {
        if (found && found->keys.size() <= MAX_HOT_WIDTH)
            break;
        amount /= 2.0;
        found = bestWindow(full.holder->id, true, amount, ranges, load);
    }
    return found;
}

void shift(holder_load &from, holder_load &to, const window &item)
{
    from.recent -= item.recent;
    from.steady -= item.steady;
    from.keys -= item.keys.size();
    to.recent += item.recent;
    to.steady += item.steady;
    to.keys += item.keys.size();
}

/// Gives the keys of a window to another target in a list of assignments.
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

/// @return the standard deviation of a measured rate of independent requests.
double noiseOf(const holder_load &item)
{
    const double window = item.isHot() ? key_load::RECENT_SECONDS : key_load::STEADY_SECONDS;
    return std::sqrt(std::max(0.0, item.load()) / (2.0 * window));
}

bool isUneven(const holder_load &full, double mean)
{
    const double utilisation = full.utilisation();
    const double excess = full.load() - mean * full.holder->capacity;
    if (excess < SIGNIFICANCE * noiseOf(full))
        return false;
    if (utilisation > HIGH_UTILISATION && utilisation > mean * 1.1)
        return true;
    return utilisation > HARMLESS_UTILISATION && utilisation > mean * UNEVEN_RATIO;
}

/// @return the key of a target with the highest load, if it owns any.
std::optional<key_number> heaviestKey(const holder_load &item,
                                      const std::vector<range_assignment> &ranges,
                                      const key_load &load)
{
    std::optional<key_number> heaviest;
    double most = 0.0;
    for (const auto &range : ranges) {
        if (range.target != item.holder->id)
            continue;
        for (key_number key = range.keys.first; key <= range.keys.last; ++key) {
            const double rate = keyLoad(load, key, item.isHot());
            if (rate > most) {
                heaviest = key;
                most = rate;
            }
        }
    }
    return heaviest;
}

/// @return a key that would fill the other target just as it fills its own: each move would only
/// leave it without an owner for some time.
std::optional<key_number> fillingKey(const holder_load &full, const holder_load &other,
                                     const std::vector<range_assignment> &ranges,
                                     const key_load &load)
{
    const auto key = heaviestKey(full, ranges, load);
    const double capacity = other.holder->capacity;
    if (!key || keyLoad(load, *key, full.isHot()) < FILLING_SHARE * capacity
        || capacity > FASTER_TARGET * full.holder->capacity)
        return std::nullopt;
    return key;
}

/// Picks keys that leave the target of a key that fills it: as many as the other one has room for.
std::optional<window> keysBeside(key_number staying, const holder_load &full, double headroom,
                                 std::vector<range_assignment> ranges, const key_load &load)
{
    reassign(ranges, {staying, staying}, {});
    const double others = full.load() - keyLoad(load, staying, full.isHot());
    double amount = std::min(others, headroom);
    const double least = MIN_MOVED_SHARE * full.holder->capacity;
    std::optional<window> found;
    for (; !found && amount >= least; amount /= 2.0)
        found = bestWindow(full.holder->id, full.isHot(), amount, ranges, load);
    return found;
}

/// Picks keys whose move lowers the load of the fuller of both targets.
std::optional<window> excessKeys(const holder_load &full, const holder_load &other, double amount,
                                 const std::vector<range_assignment> &ranges, const key_load &load)
{
    const auto found =
            amount > 0.0 ? windowFor(full, amount, ranges, load) : std::optional<window>();
    if (!found)
        return std::nullopt;
    auto newFull = full;
    auto newOther = other;
    shift(newFull, newOther, *found);
    const double after = std::max(newFull.utilisation(), newOther.utilisation());
    return after > full.utilisation() * USEFUL_SHARE ? std::nullopt : found;
}

/// Plans one move from a target to the emptiest one.
std::optional<range_move> planMove(holder_load &full, holder_load &empty, double mean,
                                   std::vector<range_assignment> &ranges, const key_load &load)
{
    if (&full == &empty)
        return std::nullopt;
    const bool hasNewcomer = empty.keys == 0;
    const double excess = full.load() - mean * full.holder->capacity;
    const double headroom = mean * empty.holder->capacity - empty.load();
    const auto staying = fillingKey(full, empty, ranges, load);
    const double amount = hasNewcomer ? std::max(excess, full.load() / 2) : excess;
    const auto found = staying ? keysBeside(*staying, full, headroom, ranges, load)
                               : excessKeys(full, empty, std::min(amount, headroom), ranges, load);
    if (!found)
        return std::nullopt;
    shift(full, empty, *found);
    const range_move move{found->keys, full.holder->id, empty.holder->id};
    reassign(ranges, move.keys, move.to);
    return move;
}

} // namespace

std::vector<range_move> range_planner::rebalance(const std::vector<key_holder> &holders,
                                                 const std::vector<range_assignment> &ranges,
                                                 const key_load &load) const
{
    auto table = tableOf(holders, ranges, load);
    auto planned = ranges;
    std::vector<range_move> moves;
    std::set<target_id> settled;
    while (moves.size() < std::max(MIN_MOVES, holders.size())) {
        auto *full = mostLoaded(table, settled);
        if (!full)
            break;
        auto &empty = *leastLoaded(table);
        const double mean = meanUtilisation(table, settled);
        if (!isUneven(*full, mean) && empty.keys > 0)
            break;
        const auto move = planMove(*full, empty, mean, planned, load);
        if (move)
            moves.push_back(*move);
        else
            settled.insert(full->holder->id);
    }
    return moves;
}

std::vector<range_move> range_planner::consolidate(const std::vector<range_assignment> &ranges,
                                                   const key_load &load) const
{
    std::vector<range_move> moves;
    target_id neighbour;
    for (const auto &range : ranges) {
        const bool isNarrow = range.keys.size() <= MAX_HOT_WIDTH;
        if (neighbour.empty() || !isNarrow || range.target == neighbour) {
            neighbour = range.target;
            continue;
        }
        const auto item = measured(range.keys, load);
        if (item.recent > IDLE_RATE || item.steady > IDLE_RATE) {
            neighbour = range.target;
            continue;
        }
        // The neighbour stays the same: the range joins it.
        moves.push_back({range.keys, range.target, neighbour});
        if (moves.size() >= MAX_CONSOLIDATIONS)
            break;
    }
    return moves;
}

std::vector<range_move> range_planner::placeUnowned(const std::vector<key_holder> &holders,
                                                    const std::vector<range_assignment> &ranges,
                                                    const key_load &load) const
{
    auto table = tableOf(holders, ranges, load);
    std::vector<range_move> moves;
    if (table.empty())
        return moves;
    const auto widest = (KEY_COUNT + table.size() - 1) / table.size();
    for (const auto &range : ranges) {
        if (!range.target.empty())
            continue;
        const auto pieces = (range.keys.size() + widest - 1) / widest;
        for (std::size_t piece = 0; piece < pieces; ++piece) {
            const auto size = range.keys.size();
            const key_range keys{
                    static_cast<key_number>(range.keys.first + size * piece / pieces),
                    static_cast<key_number>(range.keys.first + size * (piece + 1) / pieces - 1)};
            auto *target = leastLoaded(table);
            const auto item = measured(keys, load);
            target->recent += item.recent;
            target->steady += item.steady;
            target->keys += keys.size();
            moves.push_back({keys, {}, target->holder->id});
        }
    }
    return moves;
}

} // namespace clementinebeam
