#include "internal/coordinatorlist.h"

namespace clementinebeam {

bool coordinator_list::note(const service_name &service, const known_coordinator &coordinator)
{
    const auto [position, isNew] = m_coordinators.try_emplace(service, coordinator);
    if (isNew)
        return true;
    if (coordinator.term <= position->second.term)
        return false;
    position->second = coordinator;
    return true;
}

std::optional<coordinator_list::known_coordinator>
coordinator_list::find(const service_name &service) const
{
    const auto found = m_coordinators.find(service);
    return found == m_coordinators.end() ? std::nullopt : std::optional(found->second);
}

} // namespace clementinebeam
