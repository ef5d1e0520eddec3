#pragma once

#include "clementinebeam/kernel/bootclock.h"
#include "clementinebeam/ownership/ownershiptypes.h"
#include "clementinebeam/targets/controltypes.h"

#include <optional>
#include <variant>
#include <vector>

namespace clementinebeam {

/// Intervals and limits for the coordination of a shard; equal on all instances.
struct coordination_settings {
    /// Interval of a leader's heartbeats and of lease renewals per target.
    std::chrono::milliseconds heartbeatInterval{200};
    std::uint32_t missedHeartbeats = 3;        ///< Heartbeat intervals in the silence limit.
    std::chrono::milliseconds lease{1000};     ///< Lease that a leader grants to a target.
    std::chrono::milliseconds clockMargin{20}; ///< Fixed part of the clock margin.
    std::uint32_t clockDriftPpm = 1000;        ///< Upper bound of the relative drift of two clocks.
    /// How long a leader's authority, see heartbeat, lasts after a confirmation by the log or the
    /// standby.
    std::chrono::milliseconds isolationLimit{10000};
    std::chrono::milliseconds probeTimeout{120}; ///< Wait for probe replies before a claim.
    std::chrono::milliseconds claimStagger{300}; ///< Extra wait before a claim, per claim position.
    std::chrono::milliseconds appendRetryInterval{400};
    std::chrono::milliseconds prepareTimeout{500}; ///< Longest wait for a new owner to prepare.
    std::chrono::milliseconds planInterval{1000};  ///< Time between regular assignment plans.
    std::chrono::milliseconds checkpointInterval{60000};

    /// @return how long an instance or target may be silent before it counts as lost.
    std::chrono::milliseconds silenceLimit() const { return heartbeatInterval * missedHeartbeats; }

    /// @param time a duration measured by another process's clock.
    /// @return the longest that it can last by the local clock, including the fixed margin.
    boot_clock::duration withClockMargin(std::chrono::milliseconds time) const
    {
        constexpr std::int64_t MILLION = 1'000'000;
        const boot_clock::duration exact = time;
        return exact + exact * clockDriftPpm / MILLION + clockMargin;
    }
};

/// Sent periodically by a leader; a confirming reply from the standby extends the leader's
/// authority.
///
/// The authority is the permission of a leader to renew leases, grant slots and admit requests. It
/// lasts until one isolation limit after its last confirmation.
struct heartbeat {
    shard_id shard;
    term_number term = 0;
    std::uint64_t sequence = 0;
    log_offset nextOffset = 0; ///< Next offset of the ownership stream that the leader will read.

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(shard, term, sequence, nextOffset);
    }
};

/// Answers a heartbeat of the current term.
struct heartbeat_reply {
    shard_id shard;
    term_number term = 0;
    std::uint64_t sequence = 0;
    /// The sender is the standby of this leader, and this is the newest term that it knows.
    bool confirmed = false;

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(shard, term, sequence, confirmed);
    }
};

/// Asks another instance whether it receives heartbeats from the leader of a term.
struct probe_request {
    shard_id shard;
    term_number term = 0;

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(shard, term);
    }
};

/// Answers a probe of the current term.
struct probe_reply {
    shard_id shard;
    term_number term = 0;
    /// The leader is alive: the sender leads, or received a heartbeat within the silence limit.
    bool alive = false;

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(shard, term, alive);
    }
};

/// Asks the leader or standby of an earlier term to state that it is inactive below a term.
struct predecessor_query {
    shard_id shard;
    term_number term = 0;

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(shard, term);
    }
};

/// States that from now on the sender neither renews leases nor confirms a leader in any term below
/// this one.
struct predecessor_statement {
    shard_id shard;
    term_number term = 0;

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(shard, term);
    }
};

/// Sent by a stopping leader to transfer its authority to its standby.
struct handover {
    shard_id shard;
    term_number term = 0;
    std::uint64_t sequenceFloor = 0; ///< No control request of the leader has a higher sequence.
    log_offset nextOffset = 0; ///< Next offset of the ownership stream that the leader will read.

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(shard, term, sequenceFloor, nextOffset);
    }
};

/// Sent by the standby when it has accepted a handover.
struct handover_reply {
    shard_id shard;
    term_number term = 0;

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(shard, term);
    }
};

using coordination_message =
        std::variant<heartbeat, heartbeat_reply, probe_request, probe_reply, predecessor_query,
                     predecessor_statement, handover, handover_reply>;

/// Role of an instance in a shard's current term.
enum class shard_role {
    Observer, ///< Neither leader nor standby.
    Standby,  ///< Confirms the leader's heartbeats and is the first to replace it.
    Leader,
};

/// An instance as described by the instance list and the settings.
struct instance_view {
    instance_id id;
    std::string dataCentre;
    bool leaving = false; ///< Not eligible as leader or standby.
};

/// A target of the shard as described by the instance list.
struct listed_target {
    target_id id;
    std::string dataCentre;
    bool leaving = false;
    bool drained = false; ///< Drained by an operator.
};

/// Append a record to the ownership stream.
struct append_action {
    ownership_record record;
};

/// Send a message to another instance.
struct peer_action {
    instance_id to;
    coordination_message message;
};

/// Send a control request to a target.
struct target_action {
    target_id to;
    control_request request;
};

/// Actions that the caller of a shard controller must carry out, each list in order.
struct action_list {
    bool wantsCheckpoint = false; ///< Append a checkpoint of the shard to the ownership stream.
    std::vector<append_action> appends;
    std::vector<peer_action> peers;
    std::vector<target_action> targets;
};

/// Status of a target as seen by the leader.
struct target_status {
    target_id id;
    bool contacted = false; ///< Accepted a control request of this leader.
    bool alive = false;     ///< Contacted, and its last reply is within the silence limit.
    bool draining = false;
    std::size_t heldSlots = 0; ///< Slots that the target reported as held in its last reply.
    boot_clock::duration timeSinceReply{0};
};

/// Status of a shard as seen by one instance.
struct shard_status {
    shard_id shard;
    shard_role role = shard_role::Observer;
    term_number term = 0;
    incarnation_id leader;
    incarnation_id standby;
    bool authorityValid = false;        ///< This instance leads and its authority is valid.
    bool settled = true;                ///< No earlier leader can still renew leases.
    std::size_t unservedSlots = 0;      ///< Counted by the leader only.
    std::vector<target_status> targets; ///< Filled in by the leader only.
};

} // namespace clementinebeam
