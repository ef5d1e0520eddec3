#pragma once

#include "clementinebeam/kernel/bootclock.h"

#include <chrono>

namespace clementinebeam {

/// Decides whether an instance can rely on coordinators for the state of the store instead of
/// reading the store itself.
///
/// Without this, the number of calls to the store grows with the number of instances. Each answer
/// of a coordinator tells which configuration is in force there, and shows that its sender
/// coordinates the service. An answer is valid until the list of targets that the coordinator had
/// is MAX_TARGET_LIST_AGE old; one with a configuration older than MAX_CONFIGURATION_AGE does not
/// count. An instance without a valid answer reads the store itself. Reads no clock.
class relayed_view
{
public:
    /// Largest age of a coordinator's list of targets up to which an instance relies on its view.
    /// It is well below the shortest time in which a configuration has to be in force, 2 s.
    static constexpr std::chrono::milliseconds MAX_TARGET_LIST_AGE{1300};
    /// Largest age of a coordinator's configuration. Its read of the configuration waits up to a
    /// second for a change, so that the last confirmation is up to two such reads old. This is
    /// above the 2 s named for MAX_TARGET_LIST_AGE.
    static constexpr std::chrono::milliseconds MAX_CONFIGURATION_AGE{2500};

    /// Records an answer of a coordinator.
    /// @param targetListAge time since the coordinator's list of targets was up to date.
    /// @param configurationAge time since its configuration was known to be the newest.
    /// @param now the present time.
    void noteAnswer(std::chrono::milliseconds targetListAge,
                    std::chrono::milliseconds configurationAge, instant now);

    /// @return whether the view of at least one coordinator is fresh enough to rely on.
    bool isFresh(instant now) const;

    /// @return whether coordinators should be queried for their view, as it expires soon.
    bool isQueryDue(instant now) const;

private:
    instant m_freshUntil{};
};

} // namespace clementinebeam
