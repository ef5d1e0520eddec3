#include "internal/holderload.h"

namespace clementinebeam {

namespace {

/// The recent load counts as a spike if it exceeds the steady load by this factor and this many
/// requests a second.
constexpr double HOT_RATIO = 1.3;
constexpr double HOT_EXCESS = 5.0;

} // namespace

bool holder_load::isHot() const
{
    return recent > steady * HOT_RATIO + HOT_EXCESS;
}

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

window measureWindow(const key_range &keys, const key_load &load)
{
    window result{keys, 0.0, 0.0};
    for (key_number key = keys.first; key <= keys.last; ++key) {
        result.recent += keyLoad(load, key, true);
        result.steady += keyLoad(load, key, false);
    }
    return result;
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

} // namespace clementinebeam
