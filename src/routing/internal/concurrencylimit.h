#pragma once

#include <chrono>
#include <cstdint>

namespace clementinebeam {

/// Adapts the number of requests in flight to one target from the outcomes seen here.
///
/// Additive increase while answers are quick, multiplicative decrease when the target sheds or
/// slows down. Starts low, so that a cold target is not flooded. Load that targets report is not
/// used.
class concurrency_limit
{
public:
    /// @param most upper bound of the limit.
    explicit concurrency_limit(std::uint32_t most)
        : m_most(most)
    { }

    /// @param duration service time of an answered request.
    /// @param wasFull whether the limit was reached while it ran.
    void noteAnswer(std::chrono::microseconds duration, bool wasFull);

    /// Notes that the target shed a request or did not answer in time.
    void noteOverload();

    void setMost(std::uint32_t most) { m_most = most; }

    /// @return the present limit; at least 1.
    std::uint32_t value() const;

    /// @return smoothed service time; zero before the first answer.
    std::chrono::microseconds meanDuration() const;

private:
    static constexpr double START = 2.0;
    static constexpr double INCREASE = 1.0;
    static constexpr double DECREASE = 0.7;
    static constexpr double SMOOTHING = 0.05;
    static constexpr double BASELINE_RISE = 1.002;
    /// Answers slower than this multiple of the fastest recent one shrink the limit.
    static constexpr double SLOWDOWN = 4.0;
    static constexpr double SLOWDOWN_DECREASE = 0.98;

    std::uint32_t m_most;
    double m_limit = START;
    double m_mean = 0.0;     ///< Microseconds.
    double m_baseline = 0.0; ///< Microseconds; rises slowly, falls at once.
};

} // namespace clementinebeam
