#pragma once

#include "clementinebeam/kernel/bootclock.h"
#include "clementinebeam/ownership/ownershiptypes.h"
#include "clementinebeam/targets/controltypes.h"

#include <optional>
#include <variant>
#include <vector>

namespace clementinebeam {

/// Times and limits of a shard's coordination.
struct coordination_settings {
    std::chrono::milliseconds heartbeatInterval{200};
    std::uint32_t missedHeartbeats = 3;
    std::chrono::milliseconds lease{1000};
    std::chrono::milliseconds clockMargin{20}; ///< Fixed part of the allowance for clocks.
    std::uint32_t clockDriftPpm = 1000;        ///< Bound of the relative drift of two clocks.
    std::chrono::milliseconds isolationLimit{10000};
    std::chrono::milliseconds probeWait{120};
    std::chrono::milliseconds claimStagger{300};
    std::chrono::milliseconds appendRetry{400};
    std::chrono::milliseconds prepareLimit{500};
    std::chrono::milliseconds planInterval{1000};
    std::chrono::milliseconds checkpointInterval{60000};

    /// @return how long a silent party is waited for before it counts as lost.
    std::chrono::milliseconds silenceLimit() const { return heartbeatInterval * missedHeartbeats; }

    /// @param time a time on another clock.
    /// @return the longest that it can last on the own clock.
    boot_clock::duration withMargin(std::chrono::milliseconds time) const
    {
        constexpr std::int64_t MILLION = 1'000'000;
        const boot_clock::duration exact = time;
        return exact + exact * clockDriftPpm / MILLION + clockMargin;
    }
};

/// Sent by a leader; an answer from the standby confirms the leader's right.
struct heartbeat {
    shard_id shard;
    term_number term = 0;
    std::uint64_t sequence = 0;
    log_offset nextOffset = 0; ///< The leader's position in the ownership stream.

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(shard, term, sequence, nextOffset);
    }
};

struct heartbeat_reply {
    shard_id shard;
    term_number term = 0;
    std::uint64_t sequence = 0;
    bool confirmed = false; ///< The sender's newest known term is this one.

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(shard, term, sequence, confirmed);
    }
};

/// Asks whether another instance hears a leader.
struct probe_request {
    shard_id shard;
    term_number term = 0;

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(shard, term);
    }
};

struct probe_reply {
    shard_id shard;
    term_number term = 0;
    bool alive = false;

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(shard, term, alive);
    }
};

/// Asks a member of an earlier pair to state that it is no longer active below a term.
struct predecessor_query {
    shard_id shard;
    term_number term = 0;

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(shard, term);
    }
};

/// From now on the sender neither renews leases nor confirms a leader in any term below this one.
struct predecessor_statement {
    shard_id shard;
    term_number term = 0;

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(shard, term);
    }
};

/// A stopping leader passes its right to its standby.
struct handover {
    shard_id shard;
    term_number term = 0;
    std::uint64_t sequenceFloor = 0; ///< No control message of the leader has a higher sequence.
    log_offset nextOffset = 0;       ///< The leader's position in the ownership stream.

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(shard, term, sequenceFloor, nextOffset);
    }
};

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

/// What an instance is for a shard.
enum class shard_role {
    Observer,
    Standby,
    Leader,
};

/// Another instance, as the instance list and the settings name it.
struct instance_view {
    instance_id id;
    std::string dataCentre;
    bool leaving = false;
};

/// A target of the shard, as the instance list names it.
struct listed_target {
    target_id id;
    std::string dataCentre;
    bool leaving = false;
    bool drained = false; ///< Drained by an operator.
};

struct append_action {
    ownership_record record;
};

struct peer_action {
    instance_id to;
    coordination_message message;
};

struct target_action {
    target_id to;
    control_request request;
};

/// What the controller asks its adapters to do, in order.
struct action_list {
    bool wantsCheckpoint = false; ///< Append a checkpoint of the shard.
    std::vector<append_action> appends;
    std::vector<peer_action> peers;
    std::vector<target_action> targets;
};

/// A leader's view of one target.
struct target_status {
    target_id id;
    bool contacted = false;
    bool alive = false;
    bool draining = false;
    std::size_t heldSlots = 0;
    boot_clock::duration sinceReply{0};
};

/// A shard as one instance sees it.
struct shard_status {
    shard_id shard;
    shard_role role = shard_role::Observer;
    term_number term = 0;
    incarnation_id leader;
    incarnation_id standby;
    bool rightValid = false;
    bool settled = true;
    std::size_t unservedSlots = 0;
    std::vector<target_status> targets;
};

} // namespace clementinebeam
