#pragma once

#include "clementinebeam/gateway/gatewaytypes.h"

#include <memory>
#include <unordered_map>

namespace clementinebeam {

/// Finds routes of one configuration, and the service that a request of a route goes to.
class route_table
{
public:
    /// A route with the counters that spread its requests.
    struct entry {
        route rule;
        std::vector<double> credits; ///< One for each share.

        /// Picks a service so that shares match their weights over any few requests (smooth
        /// weighted round robin).
        const service_name &nextService();
    };

    explicit route_table(routing_configuration configuration);

    /// @param host the request's host; a port is ignored.
    /// @param target the request's path and query.
    /// @return the route with the longest matching prefix, or null.
    entry *find(std::string_view host, std::string_view target);

    /// @return the service, or null if the configuration names none of that name.
    const routed_service *service(const service_name &name) const;

    const routing_configuration &configuration() const { return m_configuration; }

private:
    using prefix_map = std::unordered_map<std::string, std::unique_ptr<entry>>;

    routing_configuration m_configuration;
    std::unordered_map<std::string, prefix_map> m_hosts;
};

} // namespace clementinebeam
