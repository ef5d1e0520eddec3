#pragma once

#include "clementinebeam/coordination/coordinationtypes.h"

#include <map>

namespace clementinebeam {

/// A leader's authority to renew leases in its term.
///
/// Each of two events extends the authority to one isolation limit after its time: a log read that
/// showed the term as current (its start), or a heartbeat that the standby confirmed (its send
/// time).
class leadership_authority
{
public:
    explicit leadership_authority(const coordination_settings &settings)
        : m_settings(settings)
    { }

    /// Starts a new term, without a valid authority.
    /// @param term the term; 0 if this instance does not lead.
    void begin(term_number term);

    /// Extends the authority.
    /// @param readStart when the read that showed the term as current was started.
    void confirmByLog(instant readStart);

    /// Records that a heartbeat was sent.
    /// @param sequence sequence of the heartbeat.
    /// @param now when the heartbeat was sent.
    void noteHeartbeat(std::uint64_t sequence, instant now);

    /// Extends the authority. Has no effect for a heartbeat that is unknown or older than a
    /// confirmed one.
    /// @param sequence sequence of the heartbeat that the standby confirmed.
    void confirmByStandby(std::uint64_t sequence);

    /// @param now the current time.
    /// @return whether the leader may renew leases, grant slots and admit requests.
    bool isValid(instant now) const { return m_term != 0 && now < m_validUntil; }

private:
    /// Number of heartbeats whose send times are kept; must cover isolationLimit /
    /// heartbeatInterval, which is 50 by default.
    static constexpr std::size_t MAX_UNCONFIRMED_HEARTBEATS = 64;

    coordination_settings m_settings;
    term_number m_term = 0;
    instant m_validUntil{};
    std::map<std::uint64_t, instant> m_heartbeatSendTimes;
};

} // namespace clementinebeam
