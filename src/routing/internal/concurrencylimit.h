#pragma once

#include <chrono>
#include <cstdint>

namespace clementinebeam {

/// Adapts the number of requests in flight to one target to the outcomes that this instance sees.
///
/// Additive increase while answers are fast and the limit is reached, multiplicative decrease when
/// the target sheds requests or slows down. Starts low, so that a target that has just started is
/// not overloaded. Load that targets report is not used.
class concurrency_limit
{
public:
    /// @param maxLimit upper bound of the limit.
    explicit concurrency_limit(std::uint32_t maxLimit)
        : m_maxLimit(maxLimit)
    { }

    /// Updates the limit after an answer.
    /// @param duration service time of the request.
    /// @param wasFull whether the limit was reached when the answer arrived.
    void noteAnswer(std::chrono::microseconds duration, bool wasFull);

    /// Lowers the limit because the target shed a request or did not answer in time.
    void noteOverload();

    void setMaxLimit(std::uint32_t maxLimit) { m_maxLimit = maxLimit; }

    /// @return the current limit, in requests; at least 1.
    std::uint32_t value() const;

    /// @return moving average of the service time; zero before the first answer.
    std::chrono::microseconds meanDuration() const;

private:
    static constexpr double INITIAL_LIMIT = 2.0;
    static constexpr double ADDITIVE_INCREASE = 1.0;
    static constexpr double OVERLOAD_DECREASE_FACTOR = 0.7;
    static constexpr double SMOOTHING_FACTOR = 0.05;
    static constexpr double BASELINE_GROWTH_FACTOR = 1.002;
    /// A mean service time above this multiple of the baseline lowers the limit.
    static constexpr double SLOWDOWN_RATIO = 4.0;
    static constexpr double SLOWDOWN_DECREASE_FACTOR = 0.98;

    std::uint32_t m_maxLimit;
    double m_limit = INITIAL_LIMIT;
    double m_meanDuration = 0.0; ///< Microseconds.
    /// Fastest recent answer in microseconds; falls at once, grows slowly.
    double m_baselineDuration = 0.0;
};

} // namespace clementinebeam
