#include "internal/movecandidates.h"

namespace clementinebeam {

namespace {

/// Share of a target's capacity from which a single key saturates it.
constexpr double SATURATION_SHARE = 0.8;
/// Smallest load to move away from the target of a saturating key, as a share of its capacity.
constexpr double MIN_MOVED_SHARE = 0.05;
/// A part with this share of the load of the best one is chosen if it has fewer keys.
constexpr double SUFFICIENT_SHARE = 0.7;
/// Ratio of all keys to busy ones from which only the busy ones move.
constexpr std::size_t MIN_IDLE_RATIO = 4;

/// @param mayExceed whether the outermost key is taken even if it alone carries more than that.
/// @return the longest part of a range, from its first or from its last key on, that carries at
///     most the given load; none if there is none.
std::optional<key_range> cutFromEdge(const key_range &range, const key_load &load,
                                     bool useRecentRate, double amount, bool isFirstEdge,
                                     bool mayExceed)
{
    double sum = 0.0;
    std::size_t count = 0;
    for (; count < range.size(); ++count) {
        const auto offset = static_cast<key_number>(count);
        const auto key = isFirstEdge ? range.first + offset : range.last - offset;
        sum += keyLoad(load, key, useRecentRate);
        if (sum > amount && (count > 0 || !mayExceed))
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

} // namespace

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
            const auto keys = cutFromEdge(range.keys, load, useRecentRate, amount, isFirstEdge,
                                          !movesIdleKeys);
            if (!keys)
                continue;
            const auto item =
                    measureWindow(movesIdleKeys ? *keys : withoutIdleEdges(*keys, load), load);
            cuts.push_back(item);
            mostLoad = std::max(mostLoad, loadOf(item));
        }
    }
    if (cuts.empty() || mostLoad < MIN_MOVED_SHARE * source.holder->capacity)
        return std::nullopt;
    const window *best = nullptr;
    for (const auto &cut : cuts) {
        if (loadOf(cut) >= SUFFICIENT_SHARE * mostLoad
            && (!best || cut.keys.size() < best->keys.size()))
            best = &cut;
    }
    return *best;
}

std::optional<key_number> saturatingKey(const holder_load &item,
                                        const std::vector<range_assignment> &ranges,
                                        const key_load &load)
{
    const auto key = heaviestKey(item, ranges, load);
    const bool saturates =
            key && keyLoad(load, *key, item.isHot()) >= SATURATION_SHARE * item.holder->capacity;
    return saturates ? key : std::nullopt;
}

} // namespace clementinebeam
