#pragma once

#include "clementinebeam/dispatch/dispatchtypes.h"

namespace clementinebeam {

/// What is known when a request asks to wait.
struct admission_input {
    instant now;
    instant arrival;
    instant objective;
    instant deadline;
    std::chrono::microseconds expectedWait{0}; ///< For all requests that go first.
    std::chrono::microseconds serviceTime{0};
};

/// Decides whether a request may wait.
///
/// Answers a burst beyond the capacity: a queue that is allowed to grow up to the deadline would
/// make every answer late. Requests that would be answered well past their objective are rejected
/// on arrival, so that those who wait are still served in time.
class admission_policy
{
public:
    /// @return the latest end of service at which a request is still worth its place.
    static instant latestUsefulEnd(instant objective, instant deadline);

    /// @return whether the request may wait.
    static bool mayWait(const admission_input &input);

    /// Proposes when to return. Spread by the token, so that rejected callers don't return
    /// together.
    /// @param input what is known.
    /// @param token the request's token.
    /// @return a delay of at most a third of the remaining time.
    static std::chrono::milliseconds retryAfter(const admission_input &input, request_token token);
};

} // namespace clementinebeam
