#pragma once

#include "clementinebeam/kernel/bootclock.h"

#include <chrono>

namespace clementinebeam {

/// Decides whether an instance may leave watching the store to the coordinators that it talks to.
///
/// Answers fleets of many instances: calls to the store otherwise grow with their number, although
/// each answer of a coordinator tells which configuration is in force and which coordinator is the
/// newest. What a coordinator says counts for as long as its own view of the store would; an
/// instance that hears of nobody with a fresh view watches the store itself. Reads no clock.
class relayed_news
{
public:
    /// How long the store's state may be unknown before an instance looks itself: well below the
    /// shortest time in which a configuration has to be in force, 2 s.
    static constexpr std::chrono::milliseconds MAX_NEWS_AGE{1300};
    /// A coordinator's read of the configuration waits for news for up to a second, so that its
    /// last confirmation is up to two such reads old.
    static constexpr std::chrono::milliseconds MAX_CONFIGURATION_AGE{2500};

    /// A coordinator answered.
    /// @param targetAge since its list of targets was up to date.
    /// @param configurationAge since its configuration was known to be the newest.
    void noteAnswer(std::chrono::milliseconds targetAge, std::chrono::milliseconds configurationAge,
                    instant now);

    /// @return whether some coordinator's view of the store is fresh enough to rely on.
    bool isFresh(instant now) const;

    /// @return whether coordinators should be asked for their view, as requests have not done so.
    bool isDue(instant now) const;

private:
    instant m_freshUntil{};
};

} // namespace clementinebeam
