#pragma once

#include "clementinebeam/kernel/bootclock.h"
#include "clementinebeam/kernel/identifiers.h"

#include <chrono>
#include <map>

namespace clementinebeam {

/// Decides whether an instance is in the store's group of candidates, whose members coordinate
/// services.
///
/// A coordinator handles datagrams for every request of its service. On an instance with a small
/// share of a processor this load fills the share, so that the coordinator answers late and others
/// take it for silent. On a slow link, these datagrams wait behind the ownership records that it
/// stores and reads. Large instances, with a large share and a fast link, are therefore candidates
/// from the start. Small ones become candidates only if a coordinator is missing for longer than a
/// takeover among the larger ones takes; those that lack only a fast link come before the others.
///
/// The store divides a fixed number of parts among the members of the group, and every member pays
/// for its membership with calls to the store. In a large fleet most members would hold no part. A
/// large instance without a part therefore leaves the group and joins it again when a coordinator
/// is missing. Reads no clock.
class candidacy
{
public:
    /// @param processorShare processors that the instance may use; 0.5 is half a processor.
    /// @param linkMbps speed of the instance's network link in Mbit/s.
    candidacy(double processorShare, double linkMbps);

    /// Records that the coordinator of a service did not answer, is not known, or has lost its
    /// connection to the store.
    void noteMissing(const service_name &service, instant now);

    /// Records that the coordinator of a service answered and is connected to the store.
    void noteAnswer(const service_name &service) { m_missing.erase(service); }

    /// @return whether the coordinator was recorded as missing in the last 2 s and has not answered
    ///     since.
    bool isMissing(const service_name &service, instant now) const;

    /// @return whether this instance has a large share of a processor and a fast link.
    bool isLarge() const { return m_isLarge; }

    /// @param isCoordinating whether this instance coordinates a service.
    /// @param holdsPart whether the store assigned a part to this instance.
    /// @param now the present time.
    /// @return whether this instance should be in the group of candidates now.
    bool shouldBeCandidate(bool isCoordinating, bool holdsPart, instant now);

private:
    /// A period in which the coordinator of a service was recorded as missing repeatedly.
    struct missing_period {
        instant since;
        instant lastReported;
    };

    bool isAnyMissingFor(std::chrono::milliseconds time, instant now) const;
    std::chrono::milliseconds candidacyDelay() const;

    const bool m_hasLargeShare;
    const bool m_isLarge;
    std::map<service_name, missing_period> m_missing;
    instant m_candidateUntil{}; ///< Zero if the instance was never a candidate.
};

} // namespace clementinebeam
