#include "clementinebeam/keyspace/keymap.h"

#include <algorithm>

namespace clementinebeam {

target_id key_map::ownerOf(key_number key) const
{
    const auto after = std::upper_bound(m_ranges.begin(), m_ranges.end(), key,
                                        [](key_number value, const range_assignment &range) {
                                            return value < range.keys.first;
                                        });
    if (after == m_ranges.begin())
        return {};
    const auto &range = *std::prev(after);
    return range.keys.contains(key) ? range.target : target_id{};
}

} // namespace clementinebeam
