#pragma once

#include "clementinebeam/kernel/bootclock.h"
#include "clementinebeam/peering/peermessages.h"

#include <map>
#include <vector>

namespace clementinebeam {

/// Sums service time by slot: the time measured on this instance, and the time that instances
/// reported to it as the leader.
class load_collector
{
public:
    /// Adds service time that was measured on this instance.
    /// @param slot the slot.
    /// @param seconds service time, weighted by request kind.
    void addLocal(slot_index slot, double seconds) { m_local[slot] += seconds; }

    /// @return the service time measured on this instance since the last call; only the slots with
    /// the most time if there are too many for one report.
    std::vector<slot_load> takeLocal();

    /// Adds the service time that one instance reported to this one.
    void addReport(const std::vector<slot_load> &loads);

    /// Ends a measuring period and adds its reports to the smoothed rates.
    /// @param now the current time.
    /// @return smoothed service time by slot, in seconds per second.
    const std::map<slot_index, double> &endPeriod(instant now);

private:
    std::map<slot_index, double> m_local;
    std::map<slot_index, double> m_reported;
    std::map<slot_index, double> m_rates;
    instant m_periodStart{};
};

} // namespace clementinebeam
