#pragma once

#include "clementinebeam/kernel/bootclock.h"

#include <chrono>
#include <vector>

namespace clementinebeam {

/// Keeps the work that a request needs, and how many requests were served of late, by kind of
/// request of one service.
///
/// A kind is told by its priority and its time to the objective. Work is kept relative to the mean
/// of the target that did it, as kinds may be spread unevenly over slow and fast targets.
///
/// Under lasting overload, the most urgent or the shortest requests could take all the capacity. A
/// kind whose share of served requests falls below a part of that of all requests is therefore
/// raised above the others until it is made up for. So is one that is served no more often than a
/// less urgent kind. No kind is raised while a more urgent one is served less often.
class request_kinds
{
public:
    using index = std::size_t;
    /// Further kinds share the last index, which is never raised.
    static constexpr std::size_t MAX_KINDS = 32;

    /// @return the index of a kind; it never changes.
    index indexOf(int priority, instant arrival, instant objective);

    /// Notes how long a target worked for a request.
    /// @param typical the target's mean.
    void recordWork(index kind, std::chrono::microseconds work, std::chrono::microseconds typical);

    /// Notes that a request was dispatched or refused.
    void recordOutcome(index kind, bool isServed, instant now);

    /// @return the work for a request of the kind, relative to the mean over all requests; exactly
    ///     1 while there is one kind, and for kinds close to the mean.
    double workFactor(index kind) const { return m_kinds[kind].factor; }

    /// @return whether requests of the kind go before all others because too few were served.
    bool isRaised(index kind) const { return m_kinds[kind].isRaised; }

    /// @return whether many requests of the kind's priority were refused of late.
    bool isCrowded(index kind) const { return m_kinds[kind].isCrowded; }

private:
    struct kind_state {
        int priority = 0;
        std::chrono::milliseconds objective{0}; ///< From the arrival.
        double work = 0.0;                      ///< Mean, relative to the target's.
        std::size_t samples = 0;
        double factor = 1.0;
        double served = 0.0; ///< Decaying counts.
        double refused = 0.0;
        bool isRaised = false;
        bool isCrowded = false;

        double total() const { return served + refused; }
        double servedShare() const { return served / total(); }
    };

    void decay(instant now);
    void update();
    bool isServedTooSeldom(const kind_state &kind, double all, double limit) const;

    std::vector<kind_state> m_kinds;
    double m_work = 0.0; ///< Mean over all requests, relative to the targets'.
    std::size_t m_samples = 0;
    instant m_decayedAt{};
};

} // namespace clementinebeam
