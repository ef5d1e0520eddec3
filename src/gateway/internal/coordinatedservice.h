#pragma once

#include "clementinebeam/dispatch/servicedispatcher.h"
#include "clementinebeam/gateway/imessageformat.h"
#include "clementinebeam/gateway/targetdirectory.h"
#include "clementinebeam/keyspace/keycoordinator.h"
#include "clementinebeam/keyspace/keymap.h"
#include "internal/gatewaymetrics.h"
#include "internal/targetpool.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace clementinebeam {

/// Runs the dispatcher and, for a keyed service, the key coordinator of one service that this
/// instance coordinates: carries out their actions and brings them the results.
class coordinated_service
{
public:
    /// Takes decisions about requests.
    using decision_handler = std::function<void(const dispatch_decision &)>;
    /// Asks for the service's record to be stored.
    using store_handler = std::function<void()>;

    struct environment {
        boost::asio::io_context &context;
        const i_message_format &format;
        const target_directory &targets;
        gateway_metrics &metrics;
        decision_handler onDecision;
        store_handler onStoreWanted;
        /// Asks for a fresh proof that this instance is the newest coordinator.
        std::function<void()> onProofWanted;
    };

    /// @param around what the service works with.
    /// @param record the stored claim of this instance.
    /// @param isKeyed whether targets of the service own keys.
    /// @param bounds the users' figures.
    /// @param claimedAt when the claim was sent.
    /// @param succeeded when coordinators of earlier terms were seen to have successors.
    coordinated_service(environment around, ownership_record record, bool isKeyed,
                        const service_bounds &bounds, instant claimedAt,
                        const succession &succeeded);
    ~coordinated_service();

    /// Begins to act; to be called once the owner can take decisions.
    void start() { updateTargets(); }

    void enqueue(const dispatch_request &request);
    void complete(const run_report &report);

    const dispatch_decision *placed(request_token token) const
    {
        return m_dispatcher.placed(token);
    }
    bool isWaiting(request_token token) const { return m_dispatcher.isWaiting(token); }

    /// Takes the present targets from the directory.
    void updateTargets();

    void confirmRight(instant seenAt);
    void setStoreReachable(bool isReachable);
    void onStored(fence_number nextFence);

    /// @return the record to be stored.
    ownership_record record() const;

private:
    /// Takes the outcome of an order, and the state reference that a release returned.
    using order_handler = std::function<void(order_result, const std::string &)>;

    void act();
    void advanceKeys(instant now);
    void updateOwners(instant now);
    void deliver(const dispatch_decisions &decisions);
    void schedule();
    void sendGrant(const grant_order &order);
    void sendNextGrant(const target_id &target);
    void onGrantDone(const target_id &target, order_result outcome);
    void sendRelease(const release_order &order);
    void call(const target_entry &entry, const std::shared_ptr<client_connection> &connection,
              http_call request, std::chrono::milliseconds timeout, const order_handler &done);
    void connect(const target_entry &entry, const std::shared_ptr<client_connection> &connection,
                 const order_handler &done);
    void actSoon();
    void finishLater(order_result outcome, const order_handler &done);
    void reportKeys();

    environment m_around;
    service_name m_name;
    ownership_record m_record;
    key_map m_owners;
    service_dispatcher m_dispatcher;
    std::optional<key_coordinator> m_keys;
    target_pool m_controlPool;
    std::map<target_id, std::deque<grant_order>> m_grantQueues; ///< The first one is on its way.
    boost::asio::steady_timer m_timer;
    std::uint64_t m_ownersRevision = 0;
    std::uint64_t m_reportedMoves = 0;
    instant m_nextReport{};
    instant m_nextOwnersUpdate{};
    instant m_nextTargetUpdate{};
    instant m_nextKeyAdvance{};
    instant m_timerDue = instant::max();
    bool m_isRightExpired = false;
    bool m_isActing = false;
    std::shared_ptr<bool> m_isAlive;
};

} // namespace clementinebeam
