#pragma once

#include "clementinebeam/kernel/identifiers.h"

#include <chrono>
#include <vector>

namespace clementinebeam {

/// Permission to serve one slot, fenced by its epoch.
struct slot_grant {
    slot_index slot = 0;
    epoch_number epoch = 0;

    auto operator<=>(const slot_grant &) const = default;
};

/// A leader's message to a target: renews its lease, grants and revokes slots.
///
/// A target accepts a message only if its (term, sequence) is higher than that of every earlier
/// one. The lease runs from the time at which the target issued the nonce, on the target's own
/// clock.
struct control_request {
    shard_id shard;
    term_number term = 0;
    std::uint64_t sequence = 0;
    instance_id holder;
    std::uint64_t nonce = 0; ///< The target's newest nonce; 0 in the first message to it.
    std::chrono::milliseconds lease{0};
    std::vector<slot_grant> grants;
    std::vector<slot_index> revokes;
    std::vector<slot_index> prepares; ///< Slots to warm up before they are granted.
};

/// A target's answer to a control request: its state when it answers.
struct control_reply {
    bool accepted = false;
    std::uint64_t incarnation = 0;
    std::uint64_t nonce = 0;
    term_number term = 0;         ///< Highest term seen.
    std::uint64_t sequence = 0;   ///< Highest sequence seen in that term.
    std::vector<slot_grant> held; ///< Including revoked slots whose requests are still running.
    std::vector<slot_index> prepared;
    bool draining = false;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    /// A grant_proxy holds the grants and the target did not answer the health request.
    bool isUnreachable = false;
};

} // namespace clementinebeam
