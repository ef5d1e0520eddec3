#pragma once

#include "clementinebeam/dispatch/dispatchtypes.h"
#include "clementinebeam/kernel/binarycodec.h"
#include "clementinebeam/kernel/storeera.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace clementinebeam {

/// Fencing token of a grant; increases with every change of owner, see firstNumberOf().
using fence_number = std::uint64_t;

constexpr key_number LAST_KEY = 65535; ///< Largest key of the protocol.
constexpr std::size_t KEY_COUNT = LAST_KEY + 1;

/// Keys from first to last, inclusive.
struct key_range {
    key_number first = 0;
    key_number last = LAST_KEY;

    auto operator<=>(const key_range &) const = default;
    /// @return the number of keys.
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

/// Stored owner of a range of keys: the target that is assigned the range. It serves the keys while
/// it holds an accepted grant.
struct range_assignment {
    key_range keys;
    target_id target;              ///< Empty if nobody owns the keys.
    std::uint64_t incarnation = 0; ///< Identifies the run of the target's process.
    fence_number fence = 0;
    /// Term of the last coordinator that may have granted the keys to the target. If it is of an
    /// earlier era than the record's term, the store may have forgotten later grants, also to other
    /// targets, see isProved().
    std::uint64_t grantTerm = 0;

    bool operator==(const range_assignment &) const = default;

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(keys, target, incarnation, fence, grantTerm);
    }
};

/// Stored state of one service: its coordinator and the owners of its keys.
struct ownership_record {
    service_name service;
    /// Increases with each claim of the service, see firstNumberOf(). The claim gives the right to
    /// coordinate in the era of its term only.
    std::uint64_t term = 0;
    std::string coordinator;          ///< Peer address of the coordinator.
    std::uint64_t coordinatorRun = 0; ///< Identifies the run of the coordinator's process.
    fence_number nextFence = 1;
    std::vector<range_assignment> ranges; ///< In order of keys, without gaps; empty if not keyed.

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(service, term, coordinator, coordinatorRun, nextFence, ranges);
    }
};

/// @param assignment an assignment of a record.
/// @param term the record's term.
/// @return whether the assignment shows the last grant of its keys: the store has not come back
/// from
///     an older copy since, or their coordinator has found out that no other one granted them.
bool isProved(const range_assignment &assignment, std::uint64_t term);

/// Who claims a service, and when.
struct claim_context {
    store_era era{};
    std::string coordinator;          ///< Peer address of the claimer.
    std::uint64_t coordinatorRun = 0; ///< Identifies the run of the claimer's process.
    /// The service has never had a coordinator if there is no record of it.
    bool isFirstStart = true;
    /// @return whether a target is listed and not leaving.
    std::function<bool(const target_id &)> isLive;
};

/// @param known the newest known record of the service; without a term if none is known.
/// @param context who claims it.
/// @return the record by which an instance claims a keyed service. All ranges get a new token, so
///     that targets refuse orders of earlier coordinators. Ranges of live targets are granted to
///     them again if they are proved.
ownership_record claimOf(const ownership_record &known, const claim_context &context);

/// @param record a record that another process has stored.
/// @return whether it can be continued: its ranges cover all keys in order or there are none, and
/// its numbers can be increased.
bool isConsistent(const ownership_record &record);

/// A target that may own keys.
struct key_holder {
    target_id id;
    std::uint64_t incarnation = 0;
    double capacity = 1.0;  ///< Requests that it can run per second.
    bool isLeaving = false; ///< It drains, is evacuated, or is no longer listed.
    /// Its data centre is evacuated, and until then its keys are to be moved in steps. All at once
    /// if it is leaving for another reason.
    std::optional<instant> evacuateBy{};
};

/// Grants a range to a target, or renews it.
struct grant_order {
    target_id target;
    key_range keys;
    fence_number fence = 0;
    std::chrono::milliseconds hold{0};
    /// State reference: text that the previous owner returned with its release; may be empty.
    std::string handover;
    /// When the order was issued; the hold time is too long if it is sent much later.
    instant issued{};
};

/// Revokes the grant of a range from a target.
struct release_order {
    target_id target;
    key_range keys;
    fence_number fence = 0;
};

/// Result of an order to a target.
enum class order_result {
    Accepted,
    /// Not sent, to be issued again soon: the target may have restarted since the authority was
    /// last confirmed, the order waited too long, or an order queued before it was deferred.
    Deferred,
    Superseded, ///< The target knows a higher fencing token.
    /// The target certainly did not execute the order: it was not sent, or another target has the
    /// address.
    NotSent,
    Unanswered, ///< The order may have been executed, or may still be.
};

/// Actions that a coordinator requests from its caller.
struct coordinator_actions {
    std::vector<grant_order> grants;
    std::vector<release_order> releases;
    bool wantsStore = false; ///< The result of record() is to be stored.
};

/// Number of ranges of the key space by state.
struct key_summary {
    std::size_t served = 0;        ///< The owner accepted its grant, and the hold still runs.
    std::size_t awaitingStore = 0; ///< Assigned, neither served nor stored yet.
    std::size_t awaitingGrant = 0; ///< Assigned and stored; no accepted hold runs.
    std::size_t releasing = 0;     ///< The release is not confirmed yet.
    std::size_t expiring = 0;      ///< Released; a hold may still be in force.
    std::size_t unowned = 0;       ///< No target holds or is assigned the range.
};

/// Keys that no target serves, and when they are expected to be served.
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
