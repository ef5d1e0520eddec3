#pragma once

#include "clementinebeam/kernel/bootclock.h"
#include "clementinebeam/kernel/identifiers.h"

#include <map>

namespace clementinebeam {

/// Decides when an instance replaces the coordinator of a service that the store has assigned to
/// it.
///
/// The store also reassigns services whose coordinators are alive, for example during a rolling
/// restart or after a network partition has healed. Each change of coordinator costs the queue of
/// waiting requests and what the coordinator has learned about the targets. A coordinator that
/// answers is therefore kept. Reads no clock.
class takeover_policy
{
public:
    enum class action {
        Keep,  ///< Keep the coordinator: it answers, or still has time to.
        Query, ///< Send the coordinator a query now; decide again after ANSWER_TIMEOUT.
        Claim, ///< Replace the coordinator.
    };

    /// How long a coordinator may take to answer a query. Longer than the interval at which members
    /// of the group learn of their parts, so that a newly formed group has divided the parts before
    /// any member claims a service.
    static constexpr std::chrono::milliseconds ANSWER_TIMEOUT{450};

    /// Records that the coordinator answered, is connected to the store and should not be replaced.
    void noteAnswer(const service_name &service, instant now);

    /// Records that the coordinator answered and may be replaced, as it is leaving or of a lower
    /// rank.
    void noteReplaceable(const service_name &service);

    /// @param service the service.
    /// @param term the coordinator's term; answers in earlier terms don't count.
    /// @param isMissing whether the coordinator did not answer, is not known, or has lost its
    ///     connection to the store.
    /// @param now the present time.
    /// @return what to do about the coordinator.
    action decide(const service_name &service, std::uint64_t term, bool isMissing, instant now);

private:
    struct service_state {
        std::uint64_t term = 0;
        instant answeredAt{}; ///< Zero if there was no answer in this term.
        instant queriedAt{};  ///< Zero if no query is unanswered.
        bool isReplaceable = false;
    };

    std::map<service_name, service_state> m_services;
};

} // namespace clementinebeam
