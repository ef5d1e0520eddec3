#pragma once

#include "clementinebeam/coordination/coordinationtypes.h"

namespace clementinebeam {

/// Decides on an instance that does not lead whether it should claim the shard.
class standby_monitor
{
public:
    /// What to do next about a silent leader.
    enum class decision {
        Wait,
        Probe, ///< Ask the other instances whether they hear the leader.
        Claim,
    };

    explicit standby_monitor(const coordination_settings &settings)
        : m_settings(settings)
    { }

    /// Starts to watch a term.
    void begin(instant now);

    /// @param now when a heartbeat of the leader arrived.
    void noteHeartbeat(instant now);

    /// @param now when another instance said that it hears the leader.
    void noteAlive(instant now);

    /// @param rank 0 for the standby, higher for instances that should wait longer.
    /// @param now the current time.
    /// @return what to do next.
    decision decide(std::uint32_t rank, instant now);

    /// @param now the current time.
    /// @return whether the leader was heard within the silence limit.
    bool hears(instant now) const
    {
        return m_heard && now - m_lastHeard < m_settings.silenceLimit();
    }

private:
    coordination_settings m_settings;
    instant m_lastHeard{};
    bool m_heard = false;
    instant m_probedAt{};
    bool m_probing = false;
};

} // namespace clementinebeam
