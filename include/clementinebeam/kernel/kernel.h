#pragma once

#include "clementinebeam/kernel/imodule.h"

#include <functional>
#include <memory>
#include <vector>

namespace clementinebeam {

using module_factory = std::function<std::unique_ptr<i_module>()>;

/// Collects the factories of all modules that are linked into the process.
class module_catalogue
{
public:
    /// @return the catalogue of this process.
    static module_catalogue &instance();

    /// @param factory creates the module.
    void add(module_factory factory);

    /// @return one new object for each registered module, in ascending level.
    std::vector<std::unique_ptr<i_module>> createAll() const;

private:
    std::vector<module_factory> m_factories;
};

/// Registers a module when the object file that defines it is linked.
template <class module_type>
class module_registration
{
public:
    module_registration()
    {
        module_catalogue::instance().add([] { return std::make_unique<module_type>(); });
    }
};

/// Drives the life of all modules.
class kernel
{
public:
    kernel();

    /// @return the registry that all modules share.
    service_registry &services() { return m_services; }

    /// Registers the services of all modules and starts them in ascending level.
    /// @return the first error; modules that were started are stopped again.
    std::error_code start();

    /// Drains, then stops all started modules in descending level.
    void stop();

private:
    service_registry m_services;
    std::vector<std::unique_ptr<i_module>> m_modules;
    std::size_t m_started = 0;
};

} // namespace clementinebeam
