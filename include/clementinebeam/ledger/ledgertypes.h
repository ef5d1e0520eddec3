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

/// State of a non-idempotent request.
enum class ledger_state : std::uint8_t {
    Running,  ///< An instance may send it to the owner or has sent it.
    Answered, ///< The owner ran it and answered.
    NotRun,   ///< It was provably not run; it may be admitted again.
    Unknown,  ///< It may have run; it is never admitted again.
};

/// Ledger entry of one non-idempotent request.
struct ledger_entry {
    std::string requestId;
    std::uint64_t fingerprint = 0; ///< Hash of kind, key and body.
    slot_index slot = 0;
    ledger_state state = ledger_state::Running;
    std::uint32_t attempt = 1; ///< Number of admissions; copies with a lower one are outdated.
    std::uint64_t token = 0;   ///< Of the newest admission; reports with another token are ignored.
    incarnation_id executor;   ///< The instance that may send it.
    std::int64_t createdAt = 0; ///< Milliseconds since the Unix epoch, from the request id.
    std::int64_t remainingMs =
            0; ///< Milliseconds until a running request without a report counts as unknown.
    recorded_answer answer;

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(requestId, fingerprint, slot, state, attempt, token, executor, createdAt,
                remainingMs, answer);
    }
};

/// Asks the leader for admission of a request before its first byte is sent. A non-idempotent
/// request is recorded.
struct admit_request {
    shard_id shard;
    std::string requestId; ///< Empty for an idempotent request.
    std::uint64_t fingerprint = 0;
    std::uint64_t token = 0; ///< Random; an admit_request that is sent again has the same token.
    slot_index slot = 0;
    std::int64_t remainingMs = 0; ///< Milliseconds until the deadline of the request.

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(shard, requestId, fingerprint, token, slot, remainingMs);
    }
};

/// The leader's decision about a request.
enum class admission : std::uint8_t {
    Run,      ///< The instance may send the request once.
    Recorded, ///< The request has ended; the reply has its state and answer.
    Running,  ///< Another copy of the request is running.
    Refused,  ///< Not admitted; the reply has the reason.
};

/// Answer to an admit_request.
struct admit_reply {
    admission decision = admission::Refused;
    std::uint32_t reason = 0; ///< An error_kind.
    term_number term = 0;
    epoch_number epoch = 0;
    target_id owner;
    std::uint64_t token = 0; ///< Token of the admit_request, if the request was recorded.
    ledger_state state = ledger_state::Unknown;
    recorded_answer answer;

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(decision, reason, term, epoch, owner, token, state, answer);
    }
};

/// Reports the outcome of an admitted request to the leader.
struct outcome_report {
    shard_id shard;
    std::string requestId;
    slot_index slot = 0;
    std::uint64_t token = 0; ///< Token of the admission that the report is about.
    ledger_state state = ledger_state::Unknown;
    recorded_answer answer;

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(shard, requestId, slot, token, state, answer);
    }
};

/// Answer to an outcome_report.
struct outcome_reply {
    bool accepted = false; ///< Otherwise the outcome has to be reported again.

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(accepted);
    }
};

/// Entries that a leader copies to its standby.
struct ledger_copy {
    shard_id shard;
    term_number term = 0;
    std::vector<ledger_entry> entries;

    /// Milliseconds since the Unix epoch; the ledger has all requests that were created later. Only
    /// set if isComplete.
    std::int64_t horizon = 0;

    bool isComplete = false; ///< Last part of a full copy; the standby now has all entries.

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(shard, term, entries, horizon, isComplete);
    }
};

/// Answer to a ledger_copy.
struct ledger_copy_reply {
    bool accepted = false; ///< The receiver is the standby of the sender in this term.

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(accepted);
    }
};

} // namespace clementinebeam
