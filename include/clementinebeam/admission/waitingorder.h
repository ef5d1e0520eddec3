#pragma once

#include "clementinebeam/kernel/bootclock.h"

#include <chrono>
#include <cstdint>

namespace clementinebeam {

/// A waiting request, as far as its place in the queue depends on it.
struct waiting_item {
    std::uint64_t id = 0;
    int priority = 0;       ///< 0 is the most urgent.
    bool isRaised = false;  ///< Its kind was served too seldom, see request_kinds.
    bool isCrowded = false; ///< Many of its priority were refused of late, see request_kinds.
    instant arrival;
    instant objective;                 ///< Latest answer that meets the latency objective.
    instant deadline;                  ///< Latest answer that the caller waits for.
    std::chrono::microseconds work{0}; ///< Expected at the target that will run it.
    std::chrono::microseconds size{0}; ///< Expected at the mean target, the same for all of a kind.
};

/// Orders the waiting requests of a service, and tells which one to refuse if there is no room.
///
/// The order is: raised kinds, priority, requests that can still meet their objective, arrival.
/// Among equally urgent requests, a longer one yields to shorter ones that came later by no more
/// than the difference of their size, and only while the time that it has left to its objective
/// is at least twice its size, so that it ages. If requests of the priority are refused anyway, the
/// shortest goes first, as more callers are served so. Requests of equal size keep the order of
/// their arrival.
class waiting_order
{
public:
    /// Place of a request at one moment; compares like the requests.
    struct rank {
        bool isOther; ///< Not raised.
        int priority;
        bool isLate;   ///< It can't meet its objective any more.
        instant start; ///< Arrival, later by the size while it yields; the size if crowded.
        instant arrival;
        std::uint64_t id;

        auto operator<=>(const rank &) const = default;
    };

    /// @return the rank; the lowest rank is dispatched first.
    static rank rankOf(const waiting_item &item, instant now);

    /// @return whether an equally urgent request @p left waits behind @p right because of its work.
    static bool yields(const waiting_item &left, const waiting_item &right)
    {
        return right.isCrowded && left.size > right.size;
    }

    /// @return whether a refusal of @p left costs callers less than one of @p right: not raised,
    ///     less urgent, late, more work, longer to its deadline so that its caller can return, came
    ///     last.
    static bool isCheaperToRefuse(const waiting_item &left, const waiting_item &right, instant now);
};

} // namespace clementinebeam
