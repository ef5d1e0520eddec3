#pragma once

#include "clementinebeam/kernel/imodule.h"

#include <functional>
#include <memory>
#include <vector>

namespace clementinebeam {

/// Creates a module; never returns null.
using module_factory = std::function<std::unique_ptr<i_module>()>;

/// Holds the factories of all modules that are linked into the process.
class module_catalogue
{
public:
    /// @return the catalogue of this process.
    static module_catalogue &instance();

    /// @param factory creates the module.
    void add(module_factory factory);

    /// @return one new object for each registered module, in ascending order of level.
    std::vector<std::unique_ptr<i_module>> createAll() const;

private:
    std::vector<module_factory> m_factories;
};

/// Registers a module during static initialization; define one static object of it per module.
template <class module_type>
class module_registration
{
public:
    module_registration()
    {
        module_catalogue::instance().add([] { return std::make_unique<module_type>(); });
    }
};

/// Creates, starts and stops all registered modules.
class kernel
{
public:
    /// Creates all registered modules.
    kernel();

    /// @return the registry that all modules share.
    service_registry &services() { return m_services; }

    /// Registers the services of all modules, then starts the modules in ascending order of level.
    /// @return the first error; modules that were already started are stopped again.
    std::error_code start();

    /// Drains all started modules, then stops them, both in descending order of level.
    void stop();

private:
    service_registry m_services;
    std::vector<std::unique_ptr<i_module>> m_modules;
    std::size_t m_started = 0;
};

} // namespace clementinebeam
