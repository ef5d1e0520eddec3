#pragma once

#include "clementinebeam/http/httpserver.h"
#include "historywriter.h"
#include "leaseholder.h"
#include "workerslots.h"

#include <atomic>
#include <memory>
#include <random>

namespace clementinebeam {

/// Settings of a target stand-in.
struct target_behaviour {
    target_id id;
    network_address address;
    bool checksGrants = true;    ///< Refuses requests without a valid grant and lease.
    std::size_t workerSlots = 2; ///< Maximum number of concurrent requests.
    std::size_t maxQueue = 32;   ///< Maximum number of queued requests.
    std::size_t threads = 64;    ///< Threads of the HTTP server.
    std::chrono::microseconds serviceTime{2000}; ///< Mean of an exponential distribution.
    std::chrono::milliseconds warmUp{100}; ///< Time until an announced slot counts as prepared.
    double coldFactor = 3.0; ///< Multiplies the service time after the grant of an unprepared slot.
    std::string crashMarker; ///< A request whose body contains this text ends the process.
    std::string historyFile; ///< Empty to record no history.
};

/// HTTP server of the target stand-in. Checks grants and leases, limits concurrent and queued
/// requests, and supports draining, deadlines and cancellation.
class target_server
{
public:
    /// @param behaviour settings.
    /// @param seed seed of the service times; also the incarnation and the first nonce.
    target_server(target_behaviour behaviour, std::uint64_t seed);

    /// @return the error if the address cannot be listened on.
    std::error_code start() { return m_server.start(); }
    void stop();

private:
    struct running_request {
        std::string exchangeId;
        slot_index slot = 0;
        bool cancelled = false;
    };

    /// Parsed headers of a request.
    struct request_head {
        std::string exchangeId;
        std::string requestId;
        std::string key;
        std::string kind;
        slot_index slot = 0;
        epoch_number epoch = 0;
        term_number term = 0;
        instant deadline{};
    };

    static request_head parseHead(const http_request &request);

    http_response handle(const http_request &request);
    http_response handleControl(const http_request &request);
    http_response handleRequest(const http_request &request);
    http_response handleCancel(const std::string &exchangeId);
    http_response handleHealth();
    http_response handleBehaviour(const http_request &request);
    error_kind admit(const request_head &head);
    error_kind execute(const request_head &head, const std::string &body);
    error_kind commit(const request_head &head);
    void expireLease(instant now);
    void endRequest(const std::string &exchangeId);
    bool isCancelled(const std::string &exchangeId);
    bool isRunning(slot_index slot) const;
    std::chrono::microseconds drawServiceTime(slot_index slot);
    void recordOwnership(const std::map<slot_index, epoch_number> &before);

    target_behaviour m_behaviour;
    history_writer m_history;
    worker_slots m_workerSlots;
    std::mutex m_mutex;
    lease_holder m_leases;
    std::vector<running_request> m_running;
    std::map<slot_index, instant> m_grantedAt;
    std::mt19937_64 m_random;
    std::atomic<bool> m_draining{false};
    std::atomic<std::uint64_t> m_executions{0};
    http_server m_server;
};

} // namespace clementinebeam
