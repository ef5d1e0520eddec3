#pragma once

#include "clementinebeam/controlplane/icontrolplane.h"
#include "clementinebeam/controlplane/routingview.h"
#include "clementinebeam/dispatch/retrybudget.h"
#include "clementinebeam/kernel/randomsource.h"
#include "clementinebeam/observability/imetrics.h"
#include "clementinebeam/routing/iquarantine.h"
#include "clementinebeam/targets/itargetclient.h"
#include "internal/callerrequest.h"
#include "internal/ledgerclient.h"
#include "internal/targetqueue.h"

#include <map>

namespace clementinebeam {

/// Services and limits that the router uses.
struct router_services {
    std::shared_ptr<i_routing_table> routes;
    std::shared_ptr<i_control_plane> plane;
    std::shared_ptr<i_target_client> targets;
    std::shared_ptr<i_peer_transport> peers;
    std::shared_ptr<i_quarantine> quarantine;
    std::shared_ptr<i_metrics> metrics;
    std::size_t connectionsPerTarget = 1;
};

/// The answer to a caller.
struct routed_answer {
    error_kind reason = error_kind::None; ///< None if the owner answered.
    outcome result = outcome::Answered;
    bool isRecorded = false; ///< The ledger's answer to an earlier copy of the request.
    target_id owner;
    epoch_number epoch = 0;
    int status = 0;
    std::string contentType;
    std::string body;
};

/// Routes a request to the owner of its key. A non-idempotent request runs at most once.
class request_router
{
public:
    request_router(const incarnation_id &self, router_services services);

    void start() { m_ledger.start(); }
    void stop() { m_ledger.stop(); }

    /// @param request the request.
    /// @return the answer for the caller, by the deadline.
    routed_answer route(const caller_request &request);

private:
    /// A request with its configuration.
    struct routed_request {
        const caller_request &caller;
        const service_settings &service;
        const kind_settings &kind;
        shard_id shard;
        slot_index slot = 0;
        std::uint64_t fingerprint = 0;
        bool needsLedger = false;
    };

    /// Permission to send a request to an owner once.
    struct send_permit {
        target_id owner;
        epoch_number epoch = 0;
        term_number term = 0;
    };

    routed_answer routeIdempotent(const routed_request &request);
    routed_answer routeNonIdempotent(const routed_request &request);
    std::optional<send_permit> obtainPermit(const routed_request &request, error_kind &reason);
    result<admit_reply> requestAdmission(const routed_request &request, std::uint64_t token);
    target_answer sendOnce(const routed_request &request, const send_permit &permit);
    void noteAnswer(const routed_request &request, const target_id &target,
                    const target_answer &answer, std::chrono::microseconds duration);
    void reportOutcome(const routed_request &request, std::uint64_t token,
                       const target_answer &answer);
    std::shared_ptr<target_queue> queueFor(const target_id &target,
                                           const service_settings &service);
    std::uint64_t newToken();
    routed_answer downgradeUnprovenOutcome(const caller_request &request, routed_answer answer);

    incarnation_id m_self;
    router_services m_services;
    ledger_client m_ledger;
    retry_budget m_retryBudget;
    ordered_mutex m_queueMutex{lock_rank::RoutingTable};
    std::map<target_id, std::shared_ptr<target_queue>> m_queues;
    std::mutex m_randomMutex;
    random_source m_random;
};

} // namespace clementinebeam
