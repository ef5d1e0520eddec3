#pragma once

#include "clementinebeam/assignment/iassignmentpolicy.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace clementinebeam {

/// Creates an assignment policy with the given limits.
using policy_factory = std::function<std::unique_ptr<i_assignment_policy>(const policy_limits &)>;

/// Registry of the assignment policies that are linked into the process, by name. Not thread-safe
/// while policies are added.
class policy_catalogue
{
public:
    /// @return the catalogue of the process.
    static policy_catalogue &instance();

    /// Adds a policy; replaces a policy of the same name.
    /// @param name name under which settings select the policy.
    /// @param factory creates the policy.
    void add(std::string name, policy_factory factory);

    /// @param name name of the policy.
    /// @param limits limits of the policy.
    /// @return a new policy, or null if the name is unknown.
    std::unique_ptr<i_assignment_policy> create(const std::string &name,
                                                const policy_limits &limits) const;

    /// @return the names of all policies in alphabetical order.
    std::vector<std::string> names() const;

private:
    std::map<std::string, policy_factory> m_factories;
};

/// Registers a policy in the catalogue during static initialization. Each policy defines one object
/// of this type.
template <class policy_type>
class policy_registration
{
public:
    /// @param name name under which settings select the policy.
    explicit policy_registration(const std::string &name)
    {
        policy_catalogue::instance().add(name, [](const policy_limits &limits) {
            return std::make_unique<policy_type>(limits);
        });
    }
};

} // namespace clementinebeam
