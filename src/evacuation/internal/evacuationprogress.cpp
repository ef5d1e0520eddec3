#include "clementinebeam/evacuation/evacuationprogress.h"

namespace clementinebeam {

std::vector<evacuation_remainder>
evacuation_progress::update(const evacuation_view::evacuation_map &evacuated,
                            const std::vector<evacuation_remainder> &remainders)
{
    std::erase_if(m_done, [&](const auto &item) { return !evacuated.contains(item.first); });
    std::vector<evacuation_remainder> done;
    for (const auto &item : remainders) {
        const bool isDone =
                evacuated.contains(item.dataCentre) && item.keys == 0 && item.requests == 0;
        if (isDone && m_done.emplace(item.dataCentre, item.service).second)
            done.push_back(item);
    }
    return done;
}

} // namespace clementinebeam
