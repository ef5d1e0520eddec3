#pragma once

#include "clementinebeam/keyspace/keyspacetypes.h"

#include <vector>

namespace clementinebeam {

/// Exponentially decaying request rates by key, with a short and a long time constant.
///
/// The recent rate shows load spikes of a few seconds within some hundred milliseconds; the steady
/// rate has little enough noise to balance wide ranges.
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
    float recent(key_number key) const { return m_recent[key]; }

    /// @param key a key up to LAST_KEY.
    /// @return requests a second for the key over about the last ten seconds.
    float steady(key_number key) const { return m_steady[key]; }

private:
    std::vector<float> m_recent;
    std::vector<float> m_steady;
    std::vector<std::pair<key_number, float>> m_pending; ///< Requests since the last decay.
    instant m_lastDecay{};
};

} // namespace clementinebeam
