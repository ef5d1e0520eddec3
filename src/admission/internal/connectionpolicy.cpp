#include "clementinebeam/admission/connectionpolicy.h"

#include <algorithm>

namespace clementinebeam {

namespace {

using std::chrono::microseconds;

/// Time without progress after which an answer is one that its caller does not read.
constexpr std::chrono::milliseconds STALL_TIME{4000};

double rateOf(const connection_summary &connection, instant now)
{
    const auto age = std::max<std::int64_t>(1, microseconds(now - connection.since).count());
    return static_cast<double>(connection.received) / static_cast<double>(age);
}

/// @return the connection whose answer has stalled for longest, or nothing if none has.
std::optional<std::size_t> longestStalled(const std::vector<connection_summary> &connections,
                                          instant now)
{
    std::optional<std::size_t> found;
    for (std::size_t index = 0; index < connections.size(); ++index) {
        const auto &candidate = connections[index];
        if (candidate.stage == connection_stage::Sending && now >= candidate.since + STALL_TIME
            && (!found || candidate.since < connections[*found].since))
            found = index;
    }
    return found;
}

} // namespace

std::optional<std::size_t> connectionToClose(const std::vector<connection_summary> &connections,
                                             instant now)
{
    std::optional<std::size_t> found;
    for (std::size_t index = 0; index < connections.size(); ++index) {
        const auto &candidate = connections[index];
        const bool isIdle = candidate.stage == connection_stage::Idle;
        if (!isIdle && candidate.stage != connection_stage::Receiving)
            continue;
        if (!found) {
            found = index;
            continue;
        }
        const auto &best = connections[*found];
        const bool isBestIdle = best.stage == connection_stage::Idle;
        if (isIdle != isBestIdle) {
            if (isIdle)
                found = index;
        } else if (isIdle ? candidate.since < best.since
                          : rateOf(candidate, now) < rateOf(best, now)) {
            found = index;
        }
    }
    return found ? found : longestStalled(connections, now);
}

descriptor_shares shareDescriptors(std::size_t descriptors)
{
    constexpr std::size_t LEAST_OBSERVERS = 8;
    constexpr std::size_t OBSERVER_DIVISOR = 32;
    return {std::max<std::size_t>(1, descriptors / 8 * 5),
            std::max(LEAST_OBSERVERS, descriptors / OBSERVER_DIVISOR)};
}

} // namespace clementinebeam
