#pragma once

#include "clementinebeam/dispatch/ikeydirectory.h"
#include "clementinebeam/keyspace/keyspacetypes.h"

namespace clementinebeam {

/// Owners of keys as they were last stored.
class key_map : public i_key_directory
{
public:
    /// @param ranges assignments in order of keys.
    void assign(std::vector<range_assignment> ranges) { m_ranges = std::move(ranges); }

    target_id ownerOf(key_number key) const override;

private:
    std::vector<range_assignment> m_ranges;
};

} // namespace clementinebeam
