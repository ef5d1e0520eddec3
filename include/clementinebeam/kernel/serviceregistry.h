#pragma once

#include <memory>
#include <type_traits>
#include <typeindex>
#include <unordered_map>

namespace clementinebeam {

/// Maps each service interface to its implementation.
///
/// Not synchronized: services are registered before any module starts.
class service_registry
{
public:
    /// Registers the implementation of an interface; a second registration replaces the first.
    /// @param service the implementation.
    template <class interface_type>
    void provide(std::shared_ptr<interface_type> service)
    {
        using stored_type = std::remove_const_t<interface_type>;
        m_services[typeid(interface_type)] =
                std::const_pointer_cast<stored_type>(std::move(service));
    }

    /// @return the implementation of an interface, or null if no module provides it.
    template <class interface_type>
    std::shared_ptr<interface_type> find() const
    {
        const auto found = m_services.find(typeid(interface_type));
        if (found == m_services.end())
            return nullptr;
        return std::static_pointer_cast<interface_type>(found->second);
    }

private:
    std::unordered_map<std::type_index, std::shared_ptr<void>> m_services;
};

} // namespace clementinebeam
