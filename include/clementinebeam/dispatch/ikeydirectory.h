#pragma once

#include "clementinebeam/dispatch/dispatchtypes.h"

namespace clementinebeam {

/// Looks up the owner of a key: the target that is to run the requests for it.
class i_key_directory
{
public:
    virtual ~i_key_directory() = default;

    /// @param key a key.
    /// @return its owner, or an empty id while it has none.
    virtual target_id ownerOf(key_number key) const = 0;

    /// @param key a key without an owner.
    /// @return when it is expected to have one; a time in the past if that is not known. Callers
    ///     then assume no wait.
    virtual instant ownerExpectedAt(key_number key) const = 0;
};

} // namespace clementinebeam
