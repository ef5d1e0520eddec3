#include "clementinebeam/admission/waitingorder.h"

#include <tuple>

namespace clementinebeam {

waiting_order::rank waiting_order::rankOf(const waiting_item &item, instant now)
{
    const bool isLate = now + item.work > item.objective;
    const bool isYielding = now + 2 * item.work <= item.objective;
    return {!item.isRaised, item.priority,
            isLate,         isYielding ? item.arrival + item.work : item.arrival,
            item.arrival,   item.id};
}

bool waiting_order::isCheaperToRefuse(const waiting_item &left, const waiting_item &right,
                                      instant now)
{
    const auto costOf = [now](const waiting_item &item) {
        // Greater is cheaper.
        return std::tuple(!item.isRaised, item.priority, now + item.work > item.objective,
                          item.work, item.deadline, item.arrival, item.id);
    };
    return costOf(left) > costOf(right);
}

} // namespace clementinebeam
