#pragma once

#include "clementinebeam/kernel/bootclock.h"
#include "clementinebeam/kernel/identifiers.h"

#include <chrono>
#include <map>

namespace clementinebeam {

/// Decides whether an instance stands for the coordination of services.
///
/// Answers deployments of instances of unlike size: a coordinator handles datagrams for every
/// request of its service, which fills a small instance's share of a processor, so that it answers
/// late and others take it for silent. Instances with a large enough share stand at once. Smaller
/// ones stand only while a coordinator is missing for longer than a takeover among the larger ones
/// takes.
///
/// Answers large fleets as well: the store shares out a fixed number of parts, so that most members
/// of a large group hold none, while each pays for staying in it. A large instance that holds no
/// part rests, and stands again when a coordinator is missing. Reads no clock.
class candidacy
{
public:
    /// @param processorShare the instance's share of a processor.
    explicit candidacy(double processorShare);

    /// A coordinator did not answer, is not known, or has lost its connection to the store.
    void noteMissing(const service_name &service, instant now);

    /// A coordinator answered and is in contact with the store.
    void noteAnswer(const service_name &service) { m_missing.erase(service); }

    /// @return whether the coordinator has been silent lately and has not answered since.
    bool isMissing(const service_name &service, instant now) const;

    /// @return whether this instance has a large share of a processor.
    bool isStrong() const { return m_isStrong; }

    /// @param isCoordinating whether this instance coordinates a service.
    /// @param holdsPart whether the store made this instance responsible for some service.
    /// @return whether this instance should be in the group of candidates now.
    bool shouldStand(bool isCoordinating, bool holdsPart, instant now);

private:
    /// A time in which a coordinator was missing again and again.
    struct absence {
        instant since;
        instant lastSeen;
    };

    bool isAnyMissingFor(std::chrono::milliseconds time, instant now) const;

    const bool m_isStrong;
    std::map<service_name, absence> m_missing;
    instant m_standsUntil{}; ///< Zero before the first decision.
};

} // namespace clementinebeam
