#include "clementinebeam/admission/waitingorder.h"

#include <tuple>

namespace clementinebeam {

waiting_order::rank waiting_order::rankOf(const waiting_item &item, instant now)
{
    const bool isLate = now + item.work > item.objective;
    const bool isYielding = now + 2 * item.size <= item.objective;
    auto start = isYielding ? item.arrival + item.size : item.arrival;
    if (item.isCrowded)
        start = instant{} + item.size;
    return {!item.isRaised, item.priority, isLate, start, item.arrival, item.id};
}

bool waiting_order::isCheaperToRefuse(const waiting_item &left, const waiting_item &right,
                                      instant now)
{
    const auto costOf = [now](const waiting_item &item) {
        // Greater is cheaper.
        return std::tuple(!item.isRaised, item.priority, now + item.work > item.objective,
                          item.size, item.deadline, item.arrival, item.id);
    };
    return costOf(left) > costOf(right);
}

} // namespace clementinebeam
