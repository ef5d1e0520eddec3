#include "internal/httpinstancelist.h"

#include <nlohmann/json.hpp>

namespace clementinebeam {

namespace {

channel_settings instanceListChannelSettings()
{
    channel_settings settings;
    settings.connections = 1;
    settings.maxConnections = 4;
    return settings;
}

listing parseListing(const nlohmann::json &item)
{
    listing entry;
    entry.id = item.at("id").get<std::string>();
    entry.role = item.at("role") == "target" ? listed_role::Target : listed_role::Instance;
    entry.leaving = item.at("state") == "leaving";
    entry.dataCentre = item.at("data_centre").get<std::string>();
    entry.address.host = item.at("address").get<std::string>();
    entry.address.port = item.at("port").get<std::uint16_t>();
    entry.peerPort = item.value("peer_port", std::uint16_t{0});
    entry.service = item.value("service", std::string());
    return entry;
}

} // namespace

http_instance_list::http_instance_list(const network_address &address)
    : m_channel(address, instanceListChannelSettings())
{ }

void http_instance_list::setBrokenAnswerHandler(const broken_answer_handler &handler)
{
    m_channel.setBrokenAnswerHandler(handler);
}

result<std::vector<listing>> http_instance_list::fetch(std::chrono::milliseconds timeout)
{
    http_request request;
    request.path = "/instances";
    auto response = m_channel.exchange(std::move(request), boot_clock::now() + timeout);
    if (!response || response.value().status != 200)
        return make_error_code(error_kind::LogUnavailable);
    const auto document = nlohmann::json::parse(response.value().body, nullptr, false);
    if (!document.is_array())
        return make_error_code(error_kind::BadMessage);
    try {
        std::vector<listing> entries;
        for (const auto &item : document)
            entries.push_back(parseListing(item));
        return entries;
    } catch (const nlohmann::json::exception &) {
        return make_error_code(error_kind::BadMessage);
    }
}

} // namespace clementinebeam
