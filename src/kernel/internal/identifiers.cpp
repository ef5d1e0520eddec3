#include "clementinebeam/kernel/identifiers.h"

#include <xxhash.h>

namespace clementinebeam {

std::uint64_t hashOf(std::string_view text, std::uint64_t seed) noexcept
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

slot_index slotOf(std::string_view key, slot_index slotCount) noexcept
{
    return static_cast<slot_index>(hashOf(key) % slotCount);
}

} // namespace clementinebeam
