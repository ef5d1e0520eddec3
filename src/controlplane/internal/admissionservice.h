#pragma once

#include "clementinebeam/kernel/iclock.h"
#include "clementinebeam/observability/imetrics.h"
#include "clementinebeam/peering/ipeertransport.h"
#include "internal/shardtable.h"

namespace clementinebeam {

/// How long after its admission an idempotent request to a target that does not check grants counts
/// as running.
inline constexpr std::chrono::milliseconds PERMIT_LIFETIME{1000};

/// Finds or creates the grant proxy of a target for the current term, and drops the proxies of
/// earlier terms. The caller holds the shard table's mutex.
/// @param entry the shard.
/// @param target the target.
/// @param now the current time.
/// @return the proxy; valid until the term changes or the shard is removed.
grant_proxy &proxyFor(shard_entry &entry, const target_id &target, instant now);

/// The leader's and the standby's side of the request ledger.
///
/// A non-idempotent request is admitted only after the standby has stored a copy of its entry, so
/// the loss of one instance does not lose it. A superseded leader cannot admit such requests,
/// because its standby refuses the copy.
class admission_service
{
public:
    admission_service(shard_table &shards, std::shared_ptr<i_peer_transport> peers,
                      std::shared_ptr<i_metrics> metrics, std::shared_ptr<const i_clock> clock);

    /// Decides, as the leader, whether an instance may send a request to the owner of its slot.
    /// @param from the instance that asks.
    /// @param request the request.
    /// @param respond receives an admit_reply.
    void admit(const incarnation_id &from, const admit_request &request,
               const peer_responder &respond);

    /// Records, as the leader, the outcome of an admitted request.
    /// @param report the outcome.
    /// @param respond receives an outcome_reply.
    void complete(const outcome_report &report, const peer_responder &respond);

    /// Stores, as the standby, entries that the leader copies.
    /// @param from the leader.
    /// @param copy the entries.
    /// @param respond receives a ledger_copy_reply.
    void store(const incarnation_id &from, const ledger_copy &copy, const peer_responder &respond);

    /// Sends the whole ledger of each shard that this instance leads to the standby, unless that
    /// was done. A failed copy is sent again by a later call.
    void syncStandbys();

private:
    using copy_callback = std::function<void(bool)>;

    std::optional<admit_reply> findRefusal(shard_entry *entry, const admit_request &request) const;
    admit_reply makeRunReply(shard_entry &entry, const admit_request &request);
    void finishAdmission(const admit_request &request, const ledger_entry &recorded, bool copied,
                         instant startedAt, const peer_responder &respond);
    void sendCopy(const instance_id &standby, const ledger_copy &copy, copy_callback done);
    void sendChunk(const instance_id &standby,
                   const std::shared_ptr<std::vector<ledger_copy>> &chunks, std::size_t index);

    shard_table &m_shards;
    std::shared_ptr<i_peer_transport> m_peers;
    std::shared_ptr<i_metrics> m_metrics;
    std::shared_ptr<const i_clock> m_clock;
};

} // namespace clementinebeam
