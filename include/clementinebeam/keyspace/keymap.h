#pragma once

#include "clementinebeam/dispatch/ikeydirectory.h"
#include "clementinebeam/keyspace/keyspacetypes.h"

namespace clementinebeam {

/// Targets that are to run the requests for keys, as last set with assign().
class key_map : public i_key_directory
{
public:
    /// Replaces all owners.
    /// @param ranges assignments in order of keys.
    /// @param unserved keys that no target serves, in order of keys; may be empty.
    void assign(std::vector<range_assignment> ranges, std::vector<unserved_range> unserved = {});

    target_id ownerOf(key_number key) const override;
    instant ownerExpectedAt(key_number key) const override;

private:
    std::vector<range_assignment> m_ranges;
    std::vector<unserved_range> m_unserved;
};

} // namespace clementinebeam
