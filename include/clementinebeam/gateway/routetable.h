#pragma once

#include "clementinebeam/gateway/gatewaytypes.h"

#include <memory>
#include <unordered_map>

namespace clementinebeam {

/// Looks up the routes and services of one version of the configuration.
class route_table
{
public:
    /// A route with the state of its weighted round robin.
    struct entry {
        route rule;
        /// Balance of each share in the round robin; the largest one is next, after its weight has
        /// been added.
        std::vector<double> credits;

        /// Picks the service for the next request by smooth weighted round robin, which matches the
        /// weights even over a few requests.
        /// @return a reference into rule.
        const service_name &nextService();
    };

    explicit route_table(routing_configuration configuration);

    /// @param host the request's host; a port is ignored.
    /// @param requestTarget the request's path and query.
    /// @return the route with the longest matching prefix, or null. Owned by the table.
    entry *find(std::string_view host, std::string_view requestTarget);

    /// @return the service, or null if the configuration has none of that name.
    const routed_service *service(const service_name &name) const;

    const routing_configuration &configuration() const { return m_configuration; }

private:
    using prefix_map = std::unordered_map<std::string, std::unique_ptr<entry>>;

    routing_configuration m_configuration;
    std::unordered_map<std::string, prefix_map> m_hosts;
};

} // namespace clementinebeam
