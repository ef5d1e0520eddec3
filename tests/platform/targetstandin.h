#pragma once

#include "clementinebeam/asynchttp/serverlistener.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace clementinebeam {

/// Stand-in for a target: accepts grants and releases, and answers requests as configured by a
/// test.
class target_standin : public i_request_handler
{
public:
    /// Answers a request, or leaves it unanswered.
    using behaviour =
            std::function<void(const http_call &, const std::shared_ptr<server_connection> &)>;

    target_standin(boost::asio::io_context &context, std::string id);

    /// @return an error if the address can't be bound.
    std::error_code listen(const tcp_endpoint &address);

    /// Ends like a process that is killed: its connections close and its address refuses new ones
    /// until listen() is called again.
    void crash();

    /// @param value replaces the default, which is a valid answer to each request.
    void setBehaviour(behaviour value) { m_behaviour = std::move(value); }

    /// @param value handover in the answers to releases, or none; by default, each is different.
    void setHandover(std::optional<std::string> value) { m_handover = std::move(value); }

    /// @return a signed answer to a request, as a working target gives it.
    http_answer validAnswer(const http_call &call) const;

    void handle(http_call &&call, const std::shared_ptr<server_connection> &connection) override;
    const server_limits &limits() const override { return m_limits; }

    /// @return ids of the requests received, in order.
    const std::vector<std::string> &requests() const { return m_requests; }

    /// @return the number of grants received.
    int grants() const { return m_grants; }

    /// @return the number of releases received.
    int releases() const { return m_releases; }

    /// @return the handover in the last grant that had one.
    const std::string &receivedHandover() const { return m_receivedHandover; }

private:
    boost::asio::io_context &m_context;
    std::string m_id;
    /// One for each start; the last one is in use. Pending handlers refer to the earlier ones.
    std::vector<std::unique_ptr<server_listener>> m_listeners;
    std::vector<std::weak_ptr<server_connection>> m_connections; ///< Those that sent a request.
    server_limits m_limits;
    behaviour m_behaviour;
    std::vector<std::string> m_requests;
    int m_grants = 0;
    int m_releases = 0;
    std::optional<std::string> m_handover; ///< Empty if the answers have none.
    std::string m_receivedHandover;
};

} // namespace clementinebeam
