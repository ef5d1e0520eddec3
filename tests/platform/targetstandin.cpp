#include "targetstandin.h"

namespace clementinebeam {

target_standin::target_standin(boost::asio::io_context &context, std::string id)
    : m_id(std::move(id))
    , m_listener(context, *this)
{ }

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
    if (call["X-Clementinebeam-Expect-Instance"] != m_id) {
        connection->respond(makeOwnAnswer(421));
        return;
    }
    if (call.target() == "/grant" || call.target() == "/release") {
        m_grants += call.target() == "/grant" ? 1 : 0;
        auto answer = makeOwnAnswer(200);
        answer.set("X-Clementinebeam-Handover", "state");
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
