#pragma once

#include "clementinebeam/keyspace/keyspacetypes.h"

#include <vector>

namespace clementinebeam {

/// Exponentially decaying request rates by key, with a short and a long time constant.
///
/// The recent rate shows load spikes of a few seconds within some hundred milliseconds; the steady
/// rate has little enough noise to balance wide ranges. Both are unbiased from the first requests
/// on: until a time constant has passed, they are means over the time since the first decay, so
/// that the load pattern after a start or a takeover is known within a second.
class key_load
{
public:
    /// Time constants of the two rates, in seconds.
    static constexpr double RECENT_SECONDS = 0.8;
    static constexpr double STEADY_SECONDS = 8.0;

    key_load();

    /// Counts a request for a key.
    void addRequest(key_number key);

    /// Lets the rates decay and adds the requests since the last call; to be called regularly.
    void decay(instant now);

    /// @param key a key up to LAST_KEY.
    /// @return requests a second for the key over about the last second.
    double recent(key_number key) const { return m_recent[key] * m_recentScale; }

    /// @param key a key up to LAST_KEY.
    /// @return requests a second for the key over about the last ten seconds.
    double steady(key_number key) const { return m_steady[key] * m_steadyScale; }

    /// @return the time over which the recent rate is averaged, as the length of a plain mean with
    ///     the same variance; 0 before the second decay.
    std::chrono::duration<double> recentWindow() const { return windowOf(RECENT_SECONDS); }
    /// @return the time over which the steady rate is averaged, as recentWindow().
    std::chrono::duration<double> steadyWindow() const { return windowOf(STEADY_SECONDS); }

private:
    std::chrono::duration<double> windowOf(double timeConstant) const;
    double scaleFor(double timeConstant) const;

    std::vector<float> m_recent;
    std::vector<float> m_steady;
    std::vector<std::pair<key_number, float>> m_pending; ///< Requests since the last decay.
    instant m_firstDecay{};
    instant m_lastDecay{};
    double m_recentScale = 1.0; ///< Corrects the recent rate for the missing past.
    double m_steadyScale = 1.0; ///< Corrects the steady rate for the missing past.
};

} // namespace clementinebeam
