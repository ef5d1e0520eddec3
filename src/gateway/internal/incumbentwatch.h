#pragma once

#include "clementinebeam/kernel/bootclock.h"
#include "clementinebeam/kernel/identifiers.h"

#include <map>

namespace clementinebeam {

/// Decides when an instance that the store made responsible for a service replaces the service's
/// coordinator.
///
/// Answers restarts in turn and partitions that heal: the store then shares out responsibility anew
/// although the coordinators live, and each change of a coordinator costs its waiting line and what
/// it knows of the targets. A coordinator that answers stays. Reads no clock.
class incumbent_watch
{
public:
    enum class verdict {
        Keep,  ///< The coordinator answers, or still has time to.
        Ask,   ///< Ask the coordinator now; judge again after PATIENCE.
        Claim, ///< Replace the coordinator.
    };

    /// Longer than the interval at which members of the group learn of their parts, so that a
    /// group that has just formed is shared out before anybody claims.
    static constexpr std::chrono::milliseconds PATIENCE{450};

    /// The coordinator answered, is in contact with the store and does not wish to be replaced.
    void noteAnswer(const service_name &service, instant now);

    /// The coordinator answered and wishes to be replaced.
    void noteYielding(const service_name &service);

    /// @param service the service.
    /// @param term the coordinator's term; answers in earlier terms don't count.
    /// @param isMissing whether requests found the coordinator silent.
    verdict judge(const service_name &service, std::uint64_t term, bool isMissing, instant now);

private:
    struct watched {
        std::uint64_t term = 0;
        instant answeredAt{}; ///< Zero if there was no answer in this term.
        instant askedAt{};    ///< Zero if no question is open.
        bool isYielding = false;
    };

    std::map<service_name, watched> m_services;
};

} // namespace clementinebeam
