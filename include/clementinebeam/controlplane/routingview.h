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

struct service_route {
    std::vector<slot_route> slots;
    std::vector<shard_route> shards;
};

/// All that is needed to route a request; immutable.
struct routing_view {
    std::uint64_t serial = 0;
    std::shared_ptr<const configuration_snapshot> configuration;
    std::map<service_name, service_route> services;
};

/// The newest routing view.
class i_routing_table
{
public:
    virtual ~i_routing_table() = default;

    /// @return the newest view; null until the streams were read once.
    virtual std::shared_ptr<const routing_view> view() const = 0;

    /// Waits for a change.
    /// @param serial serial of a view.
    /// @param until when to give up.
    virtual void waitForNewer(std::uint64_t serial, instant until) const = 0;
};

} // namespace clementinebeam
