#include "clementinebeam/assignment/policycatalogue.h"

namespace clementinebeam {

policy_catalogue &policy_catalogue::instance()
{
    static policy_catalogue catalogue;
    return catalogue;
}

void policy_catalogue::add(std::string name, policy_factory factory)
{
    m_factories[std::move(name)] = std::move(factory);
}

std::unique_ptr<i_assignment_policy> policy_catalogue::create(const std::string &name,
                                                              const policy_limits &limits) const
{
    const auto found = m_factories.find(name);
    return found == m_factories.end() ? nullptr : found->second(limits);
}

std::vector<std::string> policy_catalogue::names() const
{
    std::vector<std::string> names;
    for (const auto &[name, factory] : m_factories)
        names.push_back(name);
    return names;
}

} // namespace clementinebeam
