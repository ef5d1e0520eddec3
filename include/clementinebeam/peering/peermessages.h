#pragma once

#include "clementinebeam/coordination/coordinationtypes.h"
#include "clementinebeam/dispatch/crashrecord.h"
#include "clementinebeam/ledger/ledgertypes.h"

#include <variant>
#include <vector>

namespace clementinebeam {

/// Reports that a target crashed while it was running a request with this fingerprint.
struct crash_report {
    service_name service;
    std::uint64_t fingerprint = 0;
    target_id target;

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(service, fingerprint, target);
    }
};

/// Asks another instance which requests have crashed targets, as far as it knows.
struct crash_history_request {
    template <class archive_type>
    void serialize(archive_type & /*archive*/)
    { }
};

/// Answer to a crash_history_request.
struct crash_history_reply {
    std::vector<crash_record> records; ///< One for each service.

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(records);
    }
};

/// Load of one slot.
struct slot_load {
    slot_index slot = 0;
    double seconds = 0.0; ///< Service time, weighted by kind.

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(slot, seconds);
    }
};

/// Service time that one instance measured since its last report.
struct load_report {
    shard_id shard;
    std::vector<slot_load> loads;

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(shard, loads);
    }
};

/// Asks another instance for its state of the configuration and ownership streams.
struct state_request {
    bool withState = false; ///< Whether the reply is to contain the document and the shards.

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(withState);
    }
};

/// Answer to a state_request.
struct state_reply {
    bool isReady = false;
    log_offset configurationOffset = 0; ///< Next offset.
    log_offset ownershipOffset = 0;     ///< Next offset.
    std::uint64_t version = 0;
    std::string document;
    std::vector<shard_state> shards;

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(isReady, configurationOffset, ownershipOffset, version, document, shards);
    }
};

/// Announces new records in the streams.
struct stream_notice {
    log_offset configurationOffset = 0; ///< Next offset.
    log_offset ownershipOffset = 0;     ///< Next offset.

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(configurationOffset, ownershipOffset);
    }
};

using peer_message =
        std::variant<coordination_message, crash_report, load_report, stream_notice, state_request,
                     state_reply, admit_request, admit_reply, outcome_report, outcome_reply,
                     ledger_copy, ledger_copy_reply, crash_history_request, crash_history_reply>;

/// A message with its sender.
struct peer_envelope {
    incarnation_id sender;
    std::uint64_t correlation = 0; ///< Above 0 for a request and its reply.
    bool isReply = false;
    peer_message body;

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(sender, correlation, isReply, body);
    }
};

} // namespace clementinebeam
