#pragma once

#include "clementinebeam/configuration/configurationreplay.h"
#include "clementinebeam/kernel/identifiers.h"

#include <map>
#include <memory>
#include <vector>

namespace clementinebeam {

/// Owner of one slot.
struct slot_route {
    target_id owner; ///< Empty if there is none.
    epoch_number epoch = 0;
};

/// Leader of one shard.
struct shard_route {
    term_number term = 0;
    instance_id leader; ///< Empty if there is none.
};

/// Routes of one service.
struct service_route {
    std::vector<slot_route> slots;   ///< By slot index.
    std::vector<shard_route> shards; ///< By shard index.
};

/// Immutable snapshot of all that is needed to route a request.
struct routing_view {
    std::uint64_t serial = 0; ///< Increases with each published view; the first one has 1.
    std::shared_ptr<const configuration_snapshot> configuration;
    std::map<service_name, service_route> services;
};

/// Gives access to the newest routing view. Thread-safe.
class i_routing_table
{
public:
    virtual ~i_routing_table() = default;

    /// @return the newest view; null until the first one is published.
    virtual std::shared_ptr<const routing_view> view() const = 0;

    /// Blocks until a newer view is published.
    /// @param serial serial of the caller's view, or 0 if it has none.
    /// @param until the time at which to return even without a newer view.
    virtual void waitForNewer(std::uint64_t serial, instant until) const = 0;
};

} // namespace clementinebeam
