#pragma once

#include <functional>

namespace clementinebeam {

/// Stops the gateway of this process. Provided by the gateway module.
class i_gateway_control
{
public:
    virtual ~i_gateway_control() = default;

    /// Stops accepting requests and completes those in progress, as far as the grace time allows.
    /// @param done called once: on the event loop when the gateway has stopped, or at once if it
    /// was never started. Not called for a second stop().
    virtual void stop(std::function<void()> done) = 0;
};

} // namespace clementinebeam
