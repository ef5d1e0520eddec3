#pragma once

#include "clementinebeam/controlplane/routingview.h"
#include "clementinebeam/peering/ipeertransport.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace clementinebeam {

/// Client of the request ledger: asks the shard's leader to admit requests and reports outcomes.
class ledger_client
{
public:
    ledger_client(std::shared_ptr<i_peer_transport> peers, std::shared_ptr<i_routing_table> routes);
    ~ledger_client();

    void start();
    /// Waits a limited time for pending reports, then drops the rest and stops the thread.
    void stop();

    /// Asks the leader to admit a request and waits for its decision.
    /// @param leader the shard's leader.
    /// @param request the request.
    /// @param deadline when to give up.
    /// @return the leader's decision, or PeerUnreachable or BadMessage.
    result<admit_reply> admit(const instance_id &leader, const admit_request &request,
                              instant deadline);

    /// Reports an outcome in the background, repeatedly until the current leader accepts it or it
    /// gets too old.
    void report(outcome_report report);

private:
    struct pending_report {
        outcome_report report;
        instant nextAttempt{};
        instant expiresAt;
    };

    void run();
    void send(const outcome_report &report, std::function<void(bool)> done);

    std::shared_ptr<i_peer_transport> m_peers;
    std::shared_ptr<i_routing_table> m_routes;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<pending_report> m_pending;
    std::size_t m_inFlight = 0;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace clementinebeam
