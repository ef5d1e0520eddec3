#pragma once

#include "clementinebeam/kernel/bootclock.h"
#include "clementinebeam/kernel/errorkind.h"
#include "clementinebeam/targets/controltypes.h"

#include <functional>
#include <map>
#include <set>

namespace clementinebeam {

/// A checking target's side of leases and grants. Sans-I/O and not thread-safe.
class lease_holder
{
public:
    using running_predicate = std::function<bool(slot_index)>;

    /// @param incarnation this run of the target.
    /// @param firstNonce start of the nonces; differs between incarnations.
    /// @param warmUp time until a slot that was announced counts as prepared.
    lease_holder(std::uint64_t incarnation, std::uint64_t firstNonce,
                 std::chrono::milliseconds warmUp);

    /// Carries out a control message.
    /// @param request the message.
    /// @param isRunning tells whether requests of a slot are running.
    /// @param now the current time.
    /// @return the answer.
    control_reply apply(const control_request &request, const running_predicate &isRunning,
                        instant now);

    /// @param slot slot of a request.
    /// @param epoch epoch that the request names.
    /// @param term term that the request names; 0 for an idempotent one.
    /// @param isAdmitted the request was admitted before, so a revoked slot may finish it.
    /// @param now the current time.
    /// @return None, or WrongEpoch.
    error_kind check(slot_index slot, epoch_number epoch, term_number term, bool isAdmitted,
                     instant now);

    /// Drops all slots if the lease lapsed.
    /// @return whether slots were dropped.
    bool expire(instant now);

    /// @return all held slots, without regard to the lease.
    const std::map<slot_index, epoch_number> &held() const { return m_held; }
    bool isRevoked(slot_index slot) const { return m_revoked.contains(slot); }
    bool wasPrepared(slot_index slot, instant now) const;
    instant leaseUntil() const { return m_leaseUntil; }
    term_number term() const { return m_term; }

private:
    static constexpr std::size_t REMEMBERED_NONCES = 8;

    void renew(const control_request &request);
    void applyGrants(const control_request &request);
    control_reply makeReply(bool accepted, instant now);

    std::uint64_t m_incarnation;
    std::uint64_t m_nextNonce;
    std::chrono::milliseconds m_warmUp;
    std::map<std::uint64_t, instant> m_nonces;
    instant m_leaseUntil{};
    term_number m_term = 0;
    std::uint64_t m_sequence = 0;
    std::map<slot_index, epoch_number> m_held;
    std::map<slot_index, epoch_number> m_highestEpoch;
    std::set<slot_index> m_revoked;
    std::map<slot_index, instant> m_preparedSince;
};

} // namespace clementinebeam
