#pragma once

#include "clementinebeam/dispatch/crashhistory.h"

namespace clementinebeam {

/// Decides when a service's suspects have to be stored, so that they outlive all processes.
///
/// Compares what is known with what the store was last seen to hold, so that a write that was lost
/// or refused is repeated. Limits the writes when many targets crash. Does no I/O and reads no
/// clock.
class crash_archive
{
public:
    /// Suspects of one service that are stored.
    static constexpr std::size_t MAX_SUSPECTS = 128;
    /// Time between two writes for one service.
    static constexpr std::chrono::milliseconds STORE_INTERVAL{1000};

    /// Notes what the store holds.
    /// @param stored the suspects of the service; none if the store holds none.
    void noteStored(const service_name &service, suspect_map stored);

    /// Forgets what the store held, as it has come back from an older copy.
    void forgetStored() { m_stored.clear(); }

    /// Notes that a write was begun.
    void noteWrite(const service_name &service, instant now);

    /// @param known the suspects of the service as known here, at most MAX_SUSPECTS.
    /// @param now the current time.
    /// @return whether they have to be stored now.
    bool isWriteDue(const service_name &service, const suspect_map &known, instant now) const;

private:
    std::map<service_name, suspect_map> m_stored; ///< None of them is empty.
    std::map<service_name, instant> m_writtenAt;
};

} // namespace clementinebeam
