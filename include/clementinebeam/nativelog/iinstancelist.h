#pragma once

#include "clementinebeam/kernel/result.h"
#include "clementinebeam/nativelog/nativelogtypes.h"

#include <chrono>

namespace clementinebeam {

/// The platform's list of instances and targets. It may be out of date.
class i_instance_list
{
public:
    virtual ~i_instance_list() = default;

    /// Reads the whole list; blocks until the response or the timeout.
    /// @param timeout longest wait for the response.
    /// @return the list; LogUnavailable if it cannot be read, BadMessage if it cannot be parsed.
    virtual result<std::vector<listing>> fetch(std::chrono::milliseconds timeout) = 0;
};

} // namespace clementinebeam
