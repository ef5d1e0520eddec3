#include "targetstandin.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace clementinebeam {

target_standin::target_standin(boost::asio::io_context &context, std::string id)
    : m_context(context)
    , m_id(std::move(id))
{ }

std::error_code target_standin::listen(const tcp_endpoint &address)
{
    m_listeners.push_back(std::make_unique<server_listener>(m_context, *this));
    return m_listeners.back()->listen(address);
}

void target_standin::crash()
{
    m_listeners.back()->stopAccepting();
    for (const auto &item : std::exchange(m_connections, {})) {
        if (const auto connection = item.lock())
            connection->close();
    }
}

http_answer target_standin::validAnswer(const http_call &call) const
{
    auto answer = makeOwnAnswer(200, m_id + ' ' + std::string(call.target()) + ' ' + call.body());
    answer.set("X-Clementinebeam-Request-Id", call["X-Clementinebeam-Request-Id"]);
    answer.set("X-Clementinebeam-Response-Signature", "sig-" + m_id);
    answer.set("X-Clementinebeam-Server-Load", "1,0,2");
    return answer;
}

void target_standin::handle(http_call &&call, const std::shared_ptr<server_connection> &connection)
{
    m_connections.push_back(connection);
    if (call["X-Clementinebeam-Expect-Instance"] != m_id) {
        auto answer = makeOwnAnswer(421);
        answer.set("X-Clementinebeam-Request-Id", call["X-Clementinebeam-Request-Id"]);
        connection->respond(std::move(answer));
        return;
    }
    if (call.target() == "/grant") {
        ++m_grants;
        m_receivedHandover =
                nlohmann::json::parse(call.body()).value("handover", m_receivedHandover);
        connection->respond(makeOwnAnswer(200));
        return;
    }
    if (call.target() == "/release") {
        ++m_releases;
        const auto handover = m_handover.value_or(m_id + '-' + std::to_string(m_releases));
        auto answer = makeOwnAnswer(200);
        if (!handover.empty())
            answer.set("X-Clementinebeam-Handover", handover);
        connection->respond(std::move(answer));
        return;
    }
    m_requests.emplace_back(call["X-Clementinebeam-Request-Id"]);
    if (m_behaviour)
        m_behaviour(call, connection);
    else
        connection->respond(validAnswer(call));
}

} // namespace clementinebeam
