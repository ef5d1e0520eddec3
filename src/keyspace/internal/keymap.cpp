#include "clementinebeam/keyspace/keymap.h"

#include <algorithm>

namespace clementinebeam {

namespace {

/// @return the range that holds the key, or null.
template <class range_type>
const range_type *findRange(const std::vector<range_type> &ranges, key_number key)
{
    const auto after = std::upper_bound(
            ranges.begin(), ranges.end(), key,
            [](key_number value, const range_type &range) { return value < range.keys.first; });
    if (after == ranges.begin())
        return nullptr;
    const auto &range = *std::prev(after);
    return range.keys.contains(key) ? &range : nullptr;
}

} // namespace

void key_map::assign(std::vector<range_assignment> ranges, std::vector<unserved_range> unserved)
{
    m_ranges = std::move(ranges);
    m_unserved = std::move(unserved);
}

target_id key_map::ownerOf(key_number key) const
{
    const auto *range = findRange(m_ranges, key);
    return range ? range->target : target_id{};
}

instant key_map::ownerExpectedAt(key_number key) const
{
    const auto *range = findRange(m_unserved, key);
    return range ? range->expected : instant{};
}

} // namespace clementinebeam
