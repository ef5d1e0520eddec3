#pragma once

#include "clementinebeam/kernel/bootclock.h"

#include <chrono>
#include <vector>

namespace clementinebeam {

/// Keeps the work that a request needs by kind of request of one service, and how many requests
/// were served of late by priority.
///
/// A kind is told by its priority and its time to the objective. Work is kept relative to the mean
/// of the target that did it, as kinds may be spread unevenly over slow and fast targets.
///
/// Under lasting overload, the most urgent requests could take all the capacity. A priority whose
/// share of served requests falls below a part of that of all requests is therefore raised above
/// the others until it is made up for. It is never raised while a more urgent one is served less
/// often, so that urgent requests are not served less often than others.
class request_kinds
{
public:
    using index = std::size_t;
    static constexpr std::size_t MAX_KINDS = 32; ///< Further kinds share the last index.

    /// @return the index of a kind; it never changes.
    index indexOf(int priority, instant arrival, instant objective);

    /// Notes how long a target worked for a request.
    /// @param typical the target's mean.
    void recordWork(index kind, std::chrono::microseconds work, std::chrono::microseconds typical);

    /// Notes that a request was dispatched or refused.
    void recordOutcome(index kind, bool isServed, instant now);

    /// @return the work for a request of the kind, relative to the mean over all requests; exactly
    ///     1 while there is one kind.
    double workFactor(index kind) const { return m_kinds[kind].factor; }

    /// @return whether requests of the kind go before all others because too few of their priority
    ///     were served.
    bool isRaised(index kind) const { return m_levels[m_kinds[kind].level].isRaised; }

private:
    struct kind_state {
        int priority = 0;
        std::chrono::milliseconds objective{0}; ///< From the arrival.
        std::size_t level = 0;
        double work = 0.0; ///< Mean, relative to the target's.
        std::size_t samples = 0;
        double factor = 1.0;
    };

    /// What became of the requests of one priority.
    struct level_state {
        int priority = 0;
        double served = 0.0; ///< Decaying counts.
        double refused = 0.0;
        bool isRaised = false;

        double total() const { return served + refused; }
        double servedShare() const { return served / total(); }
    };

    std::size_t levelOf(int priority);
    void decay(instant now);
    void updateRaised();

    std::vector<kind_state> m_kinds;
    std::vector<level_state> m_levels;
    double m_work = 0.0; ///< Mean over all requests, relative to the targets'.
    std::size_t m_samples = 0;
    instant m_decayedAt{};
};

} // namespace clementinebeam
