#pragma once

#include "clementinebeam/kernel/serviceregistry.h"

#include <string_view>
#include <system_error>

namespace clementinebeam {

/// Component of the daemon with a managed life cycle.
///
/// The kernel calls registerServices() on all modules, then start() in ascending order of level,
/// and at shutdown drain() on all started modules and then stop(), both in descending order of
/// level.
class i_module
{
public:
    virtual ~i_module() = default;

    /// @return the module's name, unique in the process.
    virtual std::string_view name() const = 0;

    /// @return the start order; lower levels start first and stop last.
    virtual int level() const = 0;

    /// Adds the module's services to the registry. Must not look up services of other modules,
    /// which may not be registered yet.
    /// @param services the registry that all modules share.
    /// @return an error if the module cannot be set up.
    virtual std::error_code registerServices(service_registry &services) = 0;

    /// Looks up the services of other modules and starts the module's work.
    /// @param services the registry that all modules share.
    /// @return an error if the module cannot start.
    virtual std::error_code start(service_registry &services) = 0;

    /// Stops accepting new work; work in progress continues.
    virtual void drain() { }

    /// Stops all work and joins the module's threads.
    virtual void stop() { }
};

} // namespace clementinebeam
