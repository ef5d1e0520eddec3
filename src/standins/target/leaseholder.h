#pragma once

#include "clementinebeam/kernel/bootclock.h"
#include "clementinebeam/kernel/errorkind.h"
#include "clementinebeam/targets/controltypes.h"

#include <functional>
#include <map>
#include <set>

namespace clementinebeam {

/// Lease and slot grants of a target that checks grants. Performs no I/O and is not thread-safe.
class lease_holder
{
public:
    using running_predicate = std::function<bool(slot_index)>;

    /// @param incarnation identifies this run of the target.
    /// @param firstNonce first nonce to issue; has to differ between incarnations.
    /// @param warmUp time until a slot that was announced counts as prepared.
    lease_holder(std::uint64_t incarnation, std::uint64_t firstNonce,
                 std::chrono::milliseconds warmUp);

    /// Applies a control message; refuses it unless its term and sequence are newer than those of
    /// the last one.
    /// @param request the message.
    /// @param isRunning returns whether requests of a slot are running.
    /// @param now the current time.
    /// @return the answer.
    control_reply apply(const control_request &request, const running_predicate &isRunning,
                        instant now);

    /// Checks whether a request may run.
    /// @param slot slot of a request.
    /// @param epoch epoch that the request names.
    /// @param term term that the request names; 0 for an idempotent one.
    /// @param isAdmitted whether the request was admitted before; it may then finish although the
    /// slot was revoked or the term changed.
    /// @param now the current time.
    /// @return None if it may run, else WrongEpoch.
    error_kind check(slot_index slot, epoch_number epoch, term_number term, bool isAdmitted,
                     instant now);

    /// Drops all slots if the lease expired.
    /// @return whether slots were dropped.
    bool expire(instant now);

    /// @return all held slots with their epochs, also those of an expired lease.
    const std::map<slot_index, epoch_number> &held() const { return m_held; }
    /// @return whether a held slot was revoked and still has running requests.
    bool isRevoked(slot_index slot) const { return m_revoked.contains(slot); }
    /// @return whether the warm-up of an announced slot is over.
    bool wasPrepared(slot_index slot, instant now) const;
    /// @return the end of the lease; the epoch of the clock before the first lease.
    instant leaseUntil() const { return m_leaseUntil; }
    /// @return the newest term of a control message; 0 before the first one.
    term_number term() const { return m_term; }

private:
    static constexpr std::size_t MAX_NONCES = 8;

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
