#pragma once

#include "clementinebeam/dispatch/dispatchtypes.h"

namespace clementinebeam {

/// Inputs of the decision whether a request is admitted to the queue.
struct admission_input {
    instant now;
    instant arrival;
    instant objective;
    instant deadline;
    /// Until the requests ahead of it are dispatched, or until its key is expected to have an
    /// owner.
    std::chrono::microseconds expectedWait{0};
    std::chrono::microseconds serviceTime{0};
};

/// Decides whether a request may wait in the queue.
///
/// In a burst beyond the capacity, a queue that may grow up to the deadline would make every answer
/// late. Requests that would be answered well past their objective are therefore rejected on
/// arrival, so that those in the queue are still answered in time.
class admission_policy
{
public:
    /// @param objective latest answer that meets the latency objective.
    /// @param deadline latest answer that the caller waits for.
    /// @return the latest completion time at which a request is still worth running.
    static instant latestUsefulEnd(instant objective, instant deadline);

    /// @param input the request's times and its expected wait.
    /// @return whether the request may wait in the queue.
    static bool mayWait(const admission_input &input);

    /// Proposes a delay before a rejected request is sent again. It varies with the token, so that
    /// rejected callers don't retry at the same moment.
    /// @param input the request's times and its expected wait.
    /// @param token the request's token.
    /// @return a delay of at most a third of the time until the deadline, but at least 20 ms.
    static std::chrono::milliseconds retryAfter(const admission_input &input, request_token token);
};

} // namespace clementinebeam
