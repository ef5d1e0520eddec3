#include "internal/instanceranking.h"

#include <algorithm>

namespace clementinebeam {

void instance_ranking::setInstances(std::vector<instance_view> instances)
{
    m_instances = std::move(instances);
    const auto score = [this](const instance_view &view) {
        return hashOf(view.id, hashOf(m_shard.text()));
    };
    std::sort(m_instances.begin(), m_instances.end(),
              [&](const instance_view &left, const instance_view &right) {
                  return score(left) > score(right);
              });
}

std::uint32_t instance_ranking::rankOf(const instance_id &id) const
{
    std::uint32_t rank = 0;
    for (const auto &view : m_instances) {
        if (view.id == id)
            break;
        if (!view.leaving)
            ++rank;
    }
    return rank;
}

const instance_view *instance_ranking::find(const instance_id &id) const
{
    const auto found = std::find_if(m_instances.begin(), m_instances.end(),
                                    [&](const instance_view &view) { return view.id == id; });
    return found == m_instances.end() ? nullptr : &*found;
}

const instance_view *
instance_ranking::pickStandby(const instance_id &leader,
                              const std::function<bool(const instance_id &)> &isCandidate) const
{
    const auto *leaderView = find(leader);
    const instance_view *best = nullptr;
    for (const auto &view : m_instances) {
        if (view.id == leader || view.leaving || !isCandidate(view.id))
            continue;
        const bool elsewhere = !leaderView || view.dataCentre != leaderView->dataCentre;
        if (elsewhere)
            return &view;
        if (!best)
            best = &view;
    }
    return best;
}

} // namespace clementinebeam
