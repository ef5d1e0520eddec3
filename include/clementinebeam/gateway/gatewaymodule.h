#pragma once

#include <functional>

namespace clementinebeam {

/// Ends the gateway in order.
class i_gateway_control
{
public:
    virtual ~i_gateway_control() = default;

    /// Stops taking requests and ends those in work.
    /// @param done called on the event loop when nothing is left to do.
    virtual void stop(std::function<void()> done) = 0;
};

} // namespace clementinebeam
