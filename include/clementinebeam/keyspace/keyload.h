#pragma once

#include "clementinebeam/keyspace/keyspacetypes.h"

#include <vector>

namespace clementinebeam {

/// Request rates by key, over a short and a long time.
///
/// Answers hot spells of a few seconds: the short rate shows them within some hundred milliseconds,
/// the long one is steady enough to balance wide ranges by.
class key_load
{
public:
    /// Time constants of the two rates.
    static constexpr double RECENT_SECONDS = 0.8;
    static constexpr double STEADY_SECONDS = 8.0;

    key_load();

    /// Counts a request for a key.
    void note(key_number key);

    /// Lets the rates decay; to be called about every DECAY_INTERVAL.
    void decay(instant now);

    /// @return requests a second for a key over about the last second.
    float recent(key_number key) const { return m_recent[key]; }

    /// @return requests a second for a key over about the last ten seconds.
    float steady(key_number key) const { return m_steady[key]; }

private:
    std::vector<float> m_recent;
    std::vector<float> m_steady;
    std::vector<std::pair<key_number, float>> m_new; ///< Counts since the last decay.
    instant m_lastDecay{};
};

} // namespace clementinebeam
