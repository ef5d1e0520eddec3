#pragma once

#include "clementinebeam/kernel/bootclock.h"
#include "clementinebeam/kernel/errorkind.h"
#include "clementinebeam/kernel/identifiers.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <string>
#include <vector>

namespace clementinebeam {

/// A target's answer as the ledger keeps it.
struct recorded_answer {
    std::int32_t status = 0;
    std::string contentType;
    std::string body;

    bool operator==(const recorded_answer &) const = default;

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(status, contentType, body);
    }
};

/// What is known of a non-idempotent request.
enum class ledger_state : std::uint8_t {
    Running,  ///< An instance may send it to the owner.
    Answered, ///< The owner ran it.
    NotRun,   ///< It was provably not run; it may be admitted again.
    Unknown,  ///< It may have run; it is never admitted again.
};

/// One non-idempotent request.
struct ledger_entry {
    std::string requestId;
    std::uint64_t fingerprint = 0; ///< Hash of kind, key and body.
    slot_index slot = 0;
    ledger_state state = ledger_state::Running;
    std::uint32_t attempt = 1; ///< Counts admissions, so that copies are stored in order.
    std::uint64_t token = 0;   ///< Of the newest admission; reports of other ones are ignored.
    incarnation_id executor;
    std::int64_t createdAt = 0; ///< Milliseconds since the Unix epoch, from the request id.
    std::int64_t remainingMs =
            0; ///< Time until a running request without report counts as unknown.
    recorded_answer answer;

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(requestId, fingerprint, slot, state, attempt, token, executor, createdAt,
                remainingMs, answer);
    }
};

/// An instance asks the leader to record a request before its first byte is sent.
struct admit_request {
    shard_id shard;
    std::string requestId; ///< Empty for an idempotent request.
    std::uint64_t fingerprint = 0;
    std::uint64_t token =
            0; ///< Random; a repeated admit_request with the same token is the same one.
    slot_index slot = 0;
    std::int64_t remainingMs = 0;

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(shard, requestId, fingerprint, token, slot, remainingMs);
    }
};

/// The leader's decision about a request.
enum class admission : std::uint8_t {
    Run,      ///< The instance may send the request once.
    Recorded, ///< The request ended before; its state and answer follow.
    Running,  ///< Another copy of the request is running.
    Refused,  ///< Not admitted; the reason follows.
};

struct admit_reply {
    admission decision = admission::Refused;
    std::uint32_t reason = 0; ///< An error_kind.
    term_number term = 0;
    epoch_number epoch = 0;
    target_id owner;
    std::uint64_t token = 0; ///< Of the admission that was asked for.
    ledger_state state = ledger_state::Unknown;
    recorded_answer answer;

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(decision, reason, term, epoch, owner, token, state, answer);
    }
};

/// What became of an admitted request.
struct outcome_report {
    shard_id shard;
    std::string requestId;
    slot_index slot = 0;
    std::uint64_t token = 0; ///< Of the admission that the report is about.
    ledger_state state = ledger_state::Unknown;
    recorded_answer answer;

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(shard, requestId, slot, token, state, answer);
    }
};

struct outcome_reply {
    bool accepted = false;

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(accepted);
    }
};

/// A leader copies entries to its standby.
struct ledger_copy {
    shard_id shard;
    term_number term = 0;
    std::vector<ledger_entry> entries;
    std::int64_t horizon = 0; ///< The ledger knows all requests created after it.
    bool isComplete = false;  ///< The standby now has all entries.

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(shard, term, entries, horizon, isComplete);
    }
};

struct ledger_copy_reply {
    bool accepted = false;

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(accepted);
    }
};

} // namespace clementinebeam
