#pragma once

#include "clementinebeam/kernel/serviceregistry.h"

#include <string_view>
#include <system_error>

namespace clementinebeam {

/// A unit of the daemon. The kernel drives all modules through the same phases in order of level.
class i_module
{
public:
    virtual ~i_module() = default;

    /// @return the module's name, unique in the process.
    virtual std::string_view name() const = 0;

    /// @return the start order; lower levels start first and stop last.
    virtual int level() const = 0;

    /// Puts the module's services into the registry; resolves nothing of other modules.
    /// @param services the registry that all modules share.
    /// @return an error if the module cannot be set up.
    virtual std::error_code registerServices(service_registry &services) = 0;

    /// Resolves other modules' services and starts work.
    /// @param services the registry that all modules share.
    /// @return an error if the module cannot start.
    virtual std::error_code start(service_registry &services) = 0;

    /// Stops taking new work; work in flight goes on.
    virtual void drain() { }

    /// Ends all work and joins the module's threads.
    virtual void stop() { }
};

} // namespace clementinebeam
