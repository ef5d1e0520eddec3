#pragma once

#include "clementinebeam/kernel/result.h"
#include "clementinebeam/nativelog/nativelogtypes.h"

#include <chrono>

namespace clementinebeam {

/// The platform's lagging list of instances and targets.
class i_instance_list
{
public:
    virtual ~i_instance_list() = default;

    /// @param timeout when to give up.
    /// @return the list, or LogUnavailable.
    virtual result<std::vector<listing>> fetch(std::chrono::milliseconds timeout) = 0;
};

} // namespace clementinebeam
