#pragma once

#include "clementinebeam/assignment/iassignmentpolicy.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace clementinebeam {

using policy_factory = std::function<std::unique_ptr<i_assignment_policy>(const policy_limits &)>;

/// Assignment policies that are linked into the process, by name.
class policy_catalogue
{
public:
    static policy_catalogue &instance();

    void add(std::string name, policy_factory factory);

    /// @param name a policy's name.
    /// @param limits its limits.
    /// @return a new policy, or null if there is none of that name.
    std::unique_ptr<i_assignment_policy> create(const std::string &name,
                                                const policy_limits &limits) const;

    /// @return the names of all policies in alphabetical order.
    std::vector<std::string> names() const;

private:
    std::map<std::string, policy_factory> m_factories;
};

/// Registers a policy when its object file is linked.
template <class policy_type>
class policy_registration
{
public:
    explicit policy_registration(const std::string &name)
    {
        policy_catalogue::instance().add(name, [](const policy_limits &limits) {
            return std::make_unique<policy_type>(limits);
        });
    }
};

} // namespace clementinebeam
