#pragma once

#include "clementinebeam/dispatch/dispatchtypes.h"
#include "clementinebeam/kernel/binarycodec.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <chrono>
#include <string>
#include <vector>

namespace clementinebeam {

using fence_number = std::uint64_t; ///< Fencing token of a grant; rises with every change of owner.

constexpr key_number LAST_KEY = 65535;
constexpr std::size_t KEY_COUNT = LAST_KEY + 1;

/// Keys from first to last, both included.
struct key_range {
    key_number first = 0;
    key_number last = LAST_KEY;

    auto operator<=>(const key_range &) const = default;
    std::size_t size() const { return static_cast<std::size_t>(last) - first + 1; }
    bool contains(key_number key) const { return first <= key && key <= last; }
    bool overlaps(const key_range &other) const
    {
        return first <= other.last && other.first <= last;
    }

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(first, last);
    }
};

/// Who owns a range of keys, as it is stored.
struct range_assignment {
    key_range keys;
    target_id target;              ///< Empty if nobody owns the keys.
    std::uint64_t incarnation = 0; ///< Start of the target's process.
    fence_number fence = 0;
    /// Term of the last coordinator that may have granted the keys to the target.
    std::uint64_t grantTerm = 0;

    bool operator==(const range_assignment &) const = default;

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(keys, target, incarnation, fence, grantTerm);
    }
};

/// The stored state of one service: who coordinates it, and who owns its keys.
struct ownership_record {
    service_name service;
    std::uint64_t term = 0;           ///< Rises with each change of the coordinator.
    std::string coordinator;          ///< Peer address of the coordinator.
    std::uint64_t coordinatorRun = 0; ///< Tells runs of the coordinator's process apart.
    fence_number nextFence = 1;
    std::vector<range_assignment> ranges; ///< In order of keys, without gaps; empty if not keyed.

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(service, term, coordinator, coordinatorRun, nextFence, ranges);
    }
};

/// A target that may own keys.
struct key_holder {
    target_id id;
    std::uint64_t incarnation = 0;
    double capacity = 1.0;  ///< Requests a second that it can run.
    bool isLeaving = false; ///< It drains, or its entry is gone.
};

/// Grants a range to a target, or renews it.
struct grant_order {
    target_id target;
    key_range keys;
    fence_number fence = 0;
    std::chrono::milliseconds hold{0};
    std::string handover; ///< State reference from the previous owner; may be empty.
    instant issued{};     ///< The hold time is right for a grant that is sent about then.
};

/// Takes a range back from a target.
struct release_order {
    target_id target;
    key_range keys;
    fence_number fence = 0;
};

/// What a target made of an order.
enum class order_result {
    Accepted,
    Deferred,   ///< The order was not sent, as too little is known of the target's present life.
    Superseded, ///< The target knows a higher fencing token.
    NotSent,    ///< The order did not leave this process.
    Unanswered, ///< The order may have been carried out, or may be later.
};

/// Everything that a coordinator wants done.
struct coordinator_actions {
    std::vector<grant_order> grants;
    std::vector<release_order> releases;
    bool wantsStore = false; ///< record() is to be stored.
};

/// How many ranges of the key space are in which state.
struct key_summary {
    std::size_t served = 0;        ///< With an owner that accepted its grant.
    std::size_t awaitingStore = 0; ///< Assigned; the assignment is not stored yet.
    std::size_t awaitingGrant = 0; ///< Assigned and stored; the owner has not accepted.
    std::size_t releasing = 0;     ///< Being taken back.
    std::size_t expiring = 0;      ///< Given back; a hold may still be in force.
    std::size_t unowned = 0;       ///< No target can own them at present.
};

/// Keys without an owner, and when they are expected to have one.
struct unserved_range {
    key_range keys;
    instant expected;
};

/// A range that is to change its owner.
struct range_move {
    key_range keys;
    target_id from;
    target_id to;

    bool operator==(const range_move &) const = default;
};

} // namespace clementinebeam
