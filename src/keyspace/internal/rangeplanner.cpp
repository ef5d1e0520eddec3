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
/// Utilisation above which a target gives keys away already if it exceeds the mean by a tenth.
constexpr double HIGH_UTILISATION = 0.80;
/// Ratio to the mean utilisation above which a target gives keys away at a lower utilisation.
constexpr double IMBALANCE_RATIO = 1.35;
/// Utilisation up to which an imbalance is tolerated.
constexpr double TOLERATED_UTILISATION = 0.35;
/// The recent load counts as a spike if it exceeds the steady load by this factor and this many
/// requests a second.
constexpr double HOT_RATIO = 1.3;
constexpr double HOT_EXCESS = 5.0;
/// Largest number of keys in a narrow range or window. During a load spike, the window to move is
/// narrowed down to this width, as hot keys lie close to one another, by halving its load up to
/// MAX_HALVINGS times; it may stay wider. Without a spike it is not narrowed.
constexpr std::size_t MAX_NARROW_WIDTH = 256;
constexpr int MAX_HALVINGS = 4;
/// Smallest excess over the balanced load, in standard deviations of the measured rate.
constexpr double MIN_DEVIATIONS = 2.5;
/// Requests a second below which a narrow range counts as idle.
constexpr double IDLE_RATE = 0.5;
constexpr std::size_t MAX_CONSOLIDATIONS = 12;
/// A move has to lower the higher utilisation of the two targets to at most this share of it.
constexpr double MAX_REMAINING_SHARE = 0.95;

/// Share of a target's capacity from which a single key saturates it.
constexpr double SATURATION_SHARE = 0.8;
/// A saturating key is moved only if the other target is faster by this factor: a saturated target
/// looks slower than it is.
constexpr double MIN_SPEEDUP = 3.0;

/// Smallest load to move away from the target of a saturating key, as a share of its capacity.
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

double keyLoad(const key_load &load, key_number key, bool useRecentRate)
{
    return BASE_LOAD + (useRecentRate ? load.recent(key) : load.steady(key));
}

load_table loadTableOf(const std::vector<key_holder> &holders,
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

/// @param skipped targets for which no useful move was found.
holder_load *mostLoaded(load_table &table, const std::set<target_id> &skipped)
{
    holder_load *best = nullptr;
    for (auto &[id, item] : table) {
        if (skipped.contains(id))
            continue;
        if (!best || item.utilisation() > best->utilisation())
            best = &item;
    }
    return best;
}

/// @param skipped targets for which no useful move was found; they are left out, as their load
/// can't be distributed.
double meanUtilisation(const load_table &table, const std::set<target_id> &skipped)
{
    double load = 0.0;
    double capacity = 0.0;
    for (const auto &[id, item] : table) {
        if (skipped.contains(id))
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

window measureWindow(const key_range &keys, const key_load &load)
{
    window result{keys, 0.0, 0.0};
    for (key_number key = keys.first; key <= keys.last; ++key) {
        result.recent += keyLoad(load, key, true);
        result.steady += keyLoad(load, key, false);
    }
    return result;
}

/// @return the narrowest window of a range that carries at least the given load.
std::optional<key_range> narrowestWindow(const key_range &range, const key_load &load,
                                         bool useRecentRate, double amount)
{
    std::optional<key_range> best;
    double sum = 0.0;
    key_number start = range.first;
    for (key_number end = range.first; end <= range.last; ++end) {
        sum += keyLoad(load, end, useRecentRate);
        while (start < end && sum - keyLoad(load, start, useRecentRate) >= amount) {
            sum -= keyLoad(load, start, useRecentRate);
            ++start;
        }
        if (sum >= amount && (!best || end - start + 1 < best->size()))
            best = key_range{start, end};
    }
    return best;
}

std::optional<window> bestWindow(const target_id &owner, bool useRecentRate, double amount,
                                 const std::vector<range_assignment> &ranges, const key_load &load)
{
    std::optional<key_range> best;
    for (const auto &range : ranges) {
        if (range.target != owner)
            continue;
        const auto found = narrowestWindow(range.keys, load, useRecentRate, amount);
        if (found && (!best || found->size() < best->size()))
            best = found;
    }
    if (!best)
        return std::nullopt;
    return measureWindow(*best, load);
}

/// Picks the keys to move: during a load spike a narrow window if possible, even if it carries only
/// part of the excess.
std::optional<window> windowFor(const holder_load &source, double amount,
                                const std::vector<range_assignment> &ranges, const key_load &load)
{
    auto found = bestWindow(source.holder->id, source.isHot(), amount, ranges, load);
    for (int halving = 0; source.isHot() && halving < MAX_HALVINGS; ++halving) {
        if (found && found->keys.size() <= MAX_NARROW_WIDTH)
            break;
        amount /= 2.0;
        found = bestWindow(source.holder->id, true, amount, ranges, load);
    }
    return found;
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
double standardDeviation(const holder_load &item)
{
    const double window = item.isHot() ? key_load::RECENT_SECONDS : key_load::STEADY_SECONDS;
    return std::sqrt(std::max(0.0, item.load()) / (2.0 * window));
}

bool isImbalanced(const holder_load &source, double mean)
{
    const double utilisation = source.utilisation();
    const double excess = source.load() - mean * source.holder->capacity;
    if (excess < MIN_DEVIATIONS * standardDeviation(source))
        return false;
    if (utilisation > HIGH_UTILISATION && utilisation > mean * 1.1)
        return true;
    return utilisation > TOLERATED_UTILISATION && utilisation > mean * IMBALANCE_RATIO;
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

/// @return a key that would saturate the other target as it saturates its own, or none. Moving it
/// would gain nothing and leave it without an owner for some time.
std::optional<key_number> saturatingKey(const holder_load &source, const holder_load &other,
                                        const std::vector<range_assignment> &ranges,
                                        const key_load &load)
{
    const auto key = heaviestKey(source, ranges, load);
    const double capacity = other.holder->capacity;
    if (!key || keyLoad(load, *key, source.isHot()) < SATURATION_SHARE * capacity
        || capacity > MIN_SPEEDUP * source.holder->capacity)
        return std::nullopt;
    return key;
}

/// Picks keys to move away from the target of a saturating key, as many as the other target has
/// headroom for.
std::optional<window> otherKeysToMove(key_number stayingKey, const holder_load &source,
                                      double headroom, std::vector<range_assignment> ranges,
                                      const key_load &load)
{
    reassign(ranges, {stayingKey, stayingKey}, {});
    const double others = source.load() - keyLoad(load, stayingKey, source.isHot());
    double amount = std::min(others, headroom);
    const double minAmount = MIN_MOVED_SHARE * source.holder->capacity;
    std::optional<window> found;
    for (; !found && amount >= minAmount; amount /= 2.0)
        found = bestWindow(source.holder->id, source.isHot(), amount, ranges, load);
    return found;
}

/// Picks keys whose move lowers the higher utilisation of the two targets.
std::optional<window> excessKeys(const holder_load &source, const holder_load &other, double amount,
                                 const std::vector<range_assignment> &ranges, const key_load &load)
{
    const auto found =
            amount > 0.0 ? windowFor(source, amount, ranges, load) : std::optional<window>();
    if (!found)
        return std::nullopt;
    auto newSource = source;
    auto newOther = other;
    transferLoad(newSource, newOther, *found);
    const double after = std::max(newSource.utilisation(), newOther.utilisation());
    return after > source.utilisation() * MAX_REMAINING_SHARE ? std::nullopt : found;
}

/// Plans one move from a target to the least loaded one.
std::optional<range_move> planMove(holder_load &source, holder_load &destination, double mean,
                                   std::vector<range_assignment> &ranges, const key_load &load)
{
    if (&source == &destination)
        return std::nullopt;
    const bool isNewTarget = destination.keys == 0;
    const double excess = source.load() - mean * source.holder->capacity;
    const double headroom = mean * destination.holder->capacity - destination.load();
    const auto stayingKey = saturatingKey(source, destination, ranges, load);
    const double amount = isNewTarget ? std::max(excess, source.load() / 2) : excess;
    const auto found = stayingKey
            ? otherKeysToMove(*stayingKey, source, headroom, ranges, load)
            : excessKeys(source, destination, std::min(amount, headroom), ranges, load);
    if (!found)
        return std::nullopt;
    transferLoad(source, destination, *found);
    const range_move move{found->keys, source.holder->id, destination.holder->id};
    reassign(ranges, move.keys, move.to);
    return move;
}

} // namespace

std::vector<range_move> range_planner::rebalance(const std::vector<key_holder> &holders,
                                                 const std::vector<range_assignment> &ranges,
                                                 const key_load &load) const
{
    auto table = loadTableOf(holders, ranges, load);
    auto planned = ranges;
    std::vector<range_move> moves;
    std::set<target_id> skipped;
    while (moves.size() < std::max(MIN_MOVES, holders.size())) {
        auto *source = mostLoaded(table, skipped);
        if (!source)
            break;
        auto &destination = *leastLoaded(table);
        const double mean = meanUtilisation(table, skipped);
        if (!isImbalanced(*source, mean) && destination.keys > 0)
            break;
        const auto move = planMove(*source, destination, mean, planned, load);
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
