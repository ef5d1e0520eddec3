#pragma once

#include "clementinebeam/coordination/coordinationtypes.h"

namespace clementinebeam {

/// Detects a silent leader and decides when an instance that does not lead should claim the shard.
class leader_monitor
{
public:
    /// Next step of an instance that does not receive the leader's heartbeats.
    enum class decision {
        Wait,
        Probe, ///< Ask the other instances whether they receive heartbeats from the leader.
        Claim,
    };

    explicit leader_monitor(const coordination_settings &settings)
        : m_settings(settings)
    { }

    /// Starts to monitor the leader of a new term.
    /// @param now when the wait for its first heartbeat starts.
    void begin(instant now);

    /// @param now when a heartbeat of the leader arrived.
    void noteHeartbeat(instant now);

    /// @param now when another instance replied that the leader is alive.
    void noteLeaderAlive(instant now);

    /// @param claimPosition 0 for the standby, from 1 for other instances in the order of the
    /// ranking; each position adds one claim stagger to the wait.
    /// @param now the current time.
    /// @return what to do next.
    decision decide(std::uint32_t claimPosition, instant now);

    /// @param now the current time.
    /// @return whether a heartbeat of the leader arrived within the silence limit.
    bool hearsLeader(instant now) const
    {
        return m_hasHeardLeader && now - m_silenceStart < m_settings.silenceLimit();
    }

private:
    coordination_settings m_settings;
    instant m_silenceStart{};
    bool m_hasHeardLeader = false;
    instant m_probedAt{};
    bool m_probing = false;
};

} // namespace clementinebeam
