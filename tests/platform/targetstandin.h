#pragma once

#include "clementinebeam/asynchttp/serverconnection.h"

#include <functional>
#include <string>
#include <vector>

namespace clementinebeam {

/// Stand-in of a target: takes grants and releases, and answers requests as a test tells it to.
class target_standin : public i_request_handler
{
public:
    /// Answers a request in a way of its own.
    using behaviour =
            std::function<void(const http_call &, const std::shared_ptr<server_connection> &)>;

    target_standin(boost::asio::io_context &context, std::string id);

    std::error_code listen(const tcp_endpoint &address) { return m_listener.listen(address); }

    void setBehaviour(behaviour value) { m_behaviour = std::move(value); }

    /// @return the sound answer to a request.
    http_answer soundAnswer(const http_call &call) const;

    void handle(http_call &&call, const std::shared_ptr<server_connection> &connection) override;
    const server_limits &limits() const override { return m_limits; }

    /// @return ids of the requests that came.
    const std::vector<std::string> &requests() const { return m_requests; }

    int grants() const { return m_grants; }

private:
    std::string m_id;
    server_listener m_listener;
    server_limits m_limits;
    behaviour m_behaviour;
    std::vector<std::string> m_requests;
    int m_grants = 0;
};

} // namespace clementinebeam
