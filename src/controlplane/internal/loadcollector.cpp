#include "internal/loadcollector.h"

#include <algorithm>
#include <utility>

namespace clementinebeam {

namespace {

/// Weight of the newest period in the smoothed rate, from 0 to 1.
constexpr double SMOOTHING_FACTOR = 0.5;

/// Smoothed rates below this value are dropped, in seconds per second.
constexpr double NEGLIGIBLE_RATE = 1e-6;

/// Largest number of slots in a report; a report must fit in a datagram.
constexpr std::size_t MAX_REPORTED_SLOTS = 2000;

} // namespace

std::vector<slot_load> load_collector::takeLocal()
{
    std::vector<slot_load> loads;
    for (const auto &[slot, seconds] : std::exchange(m_local, {}))
        loads.push_back({slot, seconds});
    if (loads.size() > MAX_REPORTED_SLOTS) {
        const auto middle = loads.begin() + MAX_REPORTED_SLOTS;
        std::nth_element(loads.begin(), middle, loads.end(),
                         [](const slot_load &left, const slot_load &right) {
                             return left.seconds > right.seconds;
                         });
        loads.erase(middle, loads.end());
    }
    return loads;
}

void load_collector::addReport(const std::vector<slot_load> &loads)
{
    for (const auto &load : loads)
        m_reported[load.slot] += load.seconds;
}

const std::map<slot_index, double> &load_collector::endPeriod(instant now)
{
    const double elapsed = std::chrono::duration<double>(now - m_periodStart).count();
    m_periodStart = now;
    for (auto &[slot, rate] : m_rates)
        rate *= 1.0 - SMOOTHING_FACTOR;
    for (const auto &[slot, seconds] : std::exchange(m_reported, {}))
        m_rates[slot] += SMOOTHING_FACTOR * seconds / elapsed;
    std::erase_if(m_rates, [](const auto &item) { return item.second < NEGLIGIBLE_RATE; });
    return m_rates;
}

} // namespace clementinebeam
