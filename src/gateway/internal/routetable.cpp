#include "clementinebeam/gateway/routetable.h"

#include <algorithm>
#include <numeric>

namespace clementinebeam {

namespace {

std::string lowerCase(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return result;
}

std::string hostName(std::string_view host)
{
    return lowerCase(host.substr(0, host.rfind(':')));
}

} // namespace

const service_name &route_table::entry::nextService()
{
    if (rule.shares.size() == 1)
        return rule.shares.front().service;
    const double total = std::accumulate(
            rule.shares.begin(), rule.shares.end(), 0.0,
            [](double sum, const traffic_share &share) { return sum + share.weight; });
    std::size_t selected = 0;
    for (std::size_t index = 0; index < credits.size(); ++index) {
        credits[index] += rule.shares[index].weight;
        if (credits[index] > credits[selected])
            selected = index;
    }
    credits[selected] -= total;
    return rule.shares[selected].service;
}

route_table::route_table(routing_configuration configuration)
    : m_configuration(std::move(configuration))
{
    for (const auto &rule : m_configuration.routes) {
        auto &prefixes = m_hosts[lowerCase(rule.host)];
        prefixes[rule.pathPrefix] =
                std::make_unique<entry>(entry{rule, std::vector<double>(rule.shares.size(), 0.0)});
    }
}

route_table::entry *route_table::find(std::string_view host, std::string_view requestTarget)
{
    const auto prefixes = m_hosts.find(hostName(host));
    if (prefixes == m_hosts.end())
        return nullptr;
    const auto path = requestTarget.substr(0, requestTarget.find_first_of("?#"));
    auto slash = path.rfind('/');
    while (slash != std::string_view::npos) {
        const auto found = prefixes->second.find(std::string(path.substr(0, slash + 1)));
        if (found != prefixes->second.end())
            return found->second.get();
        if (slash == 0)
            break;
        slash = path.rfind('/', slash - 1);
    }
    return nullptr;
}

const routed_service *route_table::service(const service_name &name) const
{
    for (const auto &item : m_configuration.services) {
        if (item.name == name)
            return &item;
    }
    return nullptr;
}

} // namespace clementinebeam
