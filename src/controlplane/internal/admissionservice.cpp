#include "internal/admissionservice.h"

namespace clementinebeam {

namespace {

constexpr std::chrono::milliseconds COPY_TIMEOUT{300};
constexpr std::size_t SYNC_CHUNK_ENTRIES = 500;

admit_reply refusal(error_kind reason)
{
    admit_reply reply;
    reply.reason = static_cast<std::uint32_t>(reason);
    return reply;
}

} // namespace

grant_proxy &proxyFor(shard_entry &entry, const target_id &target, instant now)
{
    if (entry.proxyTerm != entry.controller.term()) {
        entry.proxies.clear();
        entry.proxyTerm = entry.controller.term();
    }
    return entry.proxies.try_emplace(target, target, entry.controller.state(), PERMIT_LIFETIME, now)
            .first->second;
}

admission_service::admission_service(shard_table &shards, std::shared_ptr<i_peer_transport> peers,
                                     std::shared_ptr<i_metrics> metrics,
                                     std::shared_ptr<const i_clock> clock)
    : m_shards(shards)
    , m_peers(std::move(peers))
    , m_metrics(std::move(metrics))
    , m_clock(std::move(clock))
{ }

std::optional<admit_reply> admission_service::findRefusal(shard_entry *entry,
                                                          const admit_request &request) const
{
    if (!entry)
        return refusal(error_kind::UnknownService);
    if (!entry->controller.leads(m_clock->now()))
        return refusal(error_kind::NotLeader);
    const auto &slots = entry->controller.state().slots;
    if (request.slot >= slots.size() || slots[request.slot].owner.empty())
        return refusal(error_kind::NoOwner);
    return std::nullopt;
}

admit_reply admission_service::makeRunReply(shard_entry &entry, const admit_request &request)
{
    if (!entry.controller.isServed(request.slot))
        return refusal(error_kind::NoOwner);
    const auto &owned = entry.controller.state().slots[request.slot];
    admit_reply reply;
    reply.decision = admission::Run;
    reply.term = entry.controller.term();
    reply.owner = owned.owner;
    reply.epoch = owned.epoch;
    return reply;
}

void admission_service::admit(const incarnation_id &from, const admit_request &request,
                              const peer_responder &respond)
{
    const auto startedAt = m_clock->now();
    ledger_copy copy;
    instance_id standby;
    {
        ordered_lock lock(m_shards.mutex());
        auto *entry = m_shards.find(request.shard);
        if (auto refused = findRefusal(entry, request))
            return respond(*refused);
        if (request.requestId.empty()) {
            auto reply = makeRunReply(*entry, request);
            if (reply.decision == admission::Run)
                proxyFor(*entry, reply.owner, startedAt).notePermit(request.slot, startedAt);
            return respond(reply);
        }
        entry->keeper.update(entry->controller, m_clock->wall());
        if (!entry->keeper.mayAdmit(entry->controller))
            return respond(refusal(error_kind::LedgerUnavailable));
        if (!entry->controller.isServed(request.slot))
            return respond(refusal(error_kind::NoOwner));
        auto &ledger = entry->keeper.ledger();
        const auto decision = ledger.admit(request, from, startedAt, m_clock->wall());
        if (decision.decision != admission::Run) {
            admit_reply reply = refusal(decision.reason);
            reply.decision = decision.decision;
            if (decision.entry) {
                reply.state = decision.entry->state;
                reply.answer = decision.entry->answer;
            }
            return respond(reply);
        }
        copy = {request.shard, entry->controller.term(), {*decision.entry}, 0, false};
        standby = entry->controller.state().standby.instance;
    }
    const auto recorded = copy.entries.front();
    sendCopy(standby, copy, [this, request, recorded, startedAt, respond](bool copied) {
        finishAdmission(request, recorded, copied, startedAt, respond);
    });
}

void admission_service::finishAdmission(const admit_request &request, const ledger_entry &recorded,
                                        bool copied, instant startedAt,
                                        const peer_responder &respond)
{
    admit_reply reply = refusal(error_kind::LedgerUnavailable);
    {
        const ordered_lock lock(m_shards.mutex());
        auto *entry = m_shards.find(request.shard);
        // Meanwhile the request may have been reported as not run, or admitted with another token.
        const bool isStillAdmitted = copied && entry && entry->controller.leads(m_clock->now())
                && entry->keeper.ledger().isRunning(recorded.requestId, recorded.token);
        if (isStillAdmitted)
            reply = makeRunReply(*entry, request);
    }
    reply.token = recorded.token;
    m_metrics->observeAdmission(m_clock->now() - startedAt);
    respond(reply);
}

void admission_service::sendCopy(const instance_id &standby, const ledger_copy &copy,
                                 copy_callback done)
{
    m_peers->request(standby, copy, COPY_TIMEOUT,
                     [done = std::move(done)](const result<peer_message> &reply) {
                         const auto *stored =
                                 reply ? std::get_if<ledger_copy_reply>(&reply.value()) : nullptr;
                         done(stored && stored->accepted);
                     });
}

void admission_service::complete(const outcome_report &report, const peer_responder &respond)
{
    ledger_copy copy;
    instance_id standby;
    {
        const ordered_lock lock(m_shards.mutex());
        auto *entry = m_shards.find(report.shard);
        if (!entry || !entry->controller.leads(m_clock->now()))
            return respond(outcome_reply{false});
        auto changed = entry->keeper.ledger().complete(report);
        if (!changed)
            return respond(outcome_reply{true});
        copy = {report.shard, entry->controller.term(), {std::move(*changed)}, 0, false};
        standby = entry->controller.state().standby.instance;
    }
    sendCopy(standby, copy, [respond](bool copied) { respond(outcome_reply{copied}); });
}

void admission_service::store(const incarnation_id &from, const ledger_copy &copy,
                              const peer_responder &respond)
{
    ledger_copy_reply reply;
    {
        const ordered_lock lock(m_shards.mutex());
        auto *entry = m_shards.find(copy.shard);
        if (entry && entry->controller.acceptsCopyFrom(from, copy.term)) {
            entry->keeper.update(entry->controller, m_clock->wall());
            entry->keeper.store(from, copy, m_clock->now());
            reply.accepted = true;
        }
    }
    respond(reply);
}

void admission_service::syncStandbys()
{
    const auto now = m_clock->now();
    const ordered_lock lock(m_shards.mutex());
    for (auto &[shard, entry] : m_shards.entries()) {
        const auto &state = entry->controller.state();
        if (!entry->keeper.needsSync() || state.standby.empty())
            continue;
        entry->keeper.setSynced(true);
        auto chunks = std::make_shared<std::vector<ledger_copy>>();
        ledger_copy chunk{shard, state.term, {}, 0, false};
        for (auto &item : entry->keeper.ledger().entries(now)) {
            chunk.entries.push_back(std::move(item));
            if (chunk.entries.size() == SYNC_CHUNK_ENTRIES) {
                chunks->push_back(chunk);
                chunk.entries.clear();
            }
        }
        chunk.horizon = entry->keeper.ledger().horizon().time_since_epoch().count();
        chunk.isComplete = true;
        chunks->push_back(std::move(chunk));
        sendChunk(state.standby.instance, chunks, 0);
    }
}

void admission_service::sendChunk(const instance_id &standby,
                                  const std::shared_ptr<std::vector<ledger_copy>> &chunks,
                                  std::size_t index)
{
    if (index == chunks->size())
        return;
    const auto &chunk = (*chunks)[index];
    sendCopy(standby, chunk, [this, standby, chunks, index](bool copied) {
        if (copied)
            return sendChunk(standby, chunks, index + 1);
        const ordered_lock lock(m_shards.mutex());
        if (auto *entry = m_shards.find(chunks->front().shard))
            entry->keeper.setSynced(false);
    });
}

} // namespace clementinebeam
