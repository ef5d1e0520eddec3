#pragma once

#include "clementinebeam/dispatch/dispatchtypes.h"

namespace clementinebeam {

/// Looks up the target that owns a key.
class i_key_directory
{
public:
    virtual ~i_key_directory() = default;

    /// @param key a key.
    /// @return its owner, or an empty id while it has none.
    virtual target_id ownerOf(key_number key) const = 0;

    /// @param key a key without an owner.
    /// @return when it is expected to have one; a time in the past if that is not known.
    virtual instant expectedOwnerAt(key_number key) const = 0;
};

} // namespace clementinebeam
