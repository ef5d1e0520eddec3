#pragma once

#include "clementinebeam/kernel/bootclock.h"
#include "clementinebeam/peering/peermessages.h"

#include <map>
#include <vector>

namespace clementinebeam {

/// Sums service time by slot, on the instance that measures it and on the leader that plans with
/// it.
class load_collector
{
public:
    /// Adds service time that was measured on this instance.
    void addLocal(slot_index slot, double seconds) { m_local[slot] += seconds; }

    /// @return what was measured on this instance since the last call.
    std::vector<slot_load> takeLocal();

    /// Adds a report of any instance.
    void addReport(const std::vector<slot_load> &loads);

    /// Ends a measuring period.
    /// @param now the current time.
    /// @return smoothed service time in seconds per second by slot.
    const std::map<slot_index, double> &endPeriod(instant now);

private:
    std::map<slot_index, double> m_local;
    std::map<slot_index, double> m_reported;
    std::map<slot_index, double> m_rates;
    instant m_periodStart{};
};

} // namespace clementinebeam
