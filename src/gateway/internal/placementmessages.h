#pragma once

#include "clementinebeam/dispatch/dispatchtypes.h"
#include "clementinebeam/kernel/result.h"
#include "clementinebeam/kernel/storeera.h"

#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <variant>

namespace clementinebeam {

/// One data centre that the sender knows as evacuated.
struct evacuated_data_centre {
    std::string name;
    std::int64_t ageMs = 0; ///< Time since the sender first knew of the evacuation.

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(name, ageMs);
    }
};

/// All evacuations that the sender knows, see evacuation_view. Part of other messages, and alone
/// for an instance that has told an older state.
struct evacuations_message {
    store_position version;
    std::vector<evacuated_data_centre> dataCentres;

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(version.era, version.offset, dataCentres);
    }
};

/// Asks the coordinator of a service to place a request on a target. Times are relative to the
/// sending of the message, as clocks of instances differ.
struct place_request_message {
    service_name service;
    request_token token = 0;
    bool hasKey = false;
    key_number key = 0;
    std::int32_t priority = 0;
    bool isRetry = false;
    std::int64_t ageUs = 0;       ///< Time since the request arrived.
    std::int64_t objectiveUs = 0; ///< Time until the latency objective.
    std::int64_t deadlineUs = 0;  ///< Time until the deadline.
    std::string dataCentre;
    target_id excluded;
    std::uint64_t configuration = 0; ///< Version of the configuration in force at the sender.
    std::uint64_t fingerprint = 0;
    store_era era{}; ///< Latest one that the sender knows.

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(service, token, hasKey, key, priority, isRetry, ageUs, objectiveUs, deadlineUs,
                dataCentre, excluded, configuration, fingerprint, era);
    }
};

/// The coordinator's answer to a place_request_message or a query. If neither target nor reason is
/// set, the request is still waiting.
struct place_answer_message {
    service_name service;
    request_token token = 0;
    target_id target;
    std::string targetHost; ///< The target's host as the coordinator knows it.
    std::uint16_t targetPort = 0;
    std::int32_t reason = 0; ///< An error_kind.
    std::int64_t retryAfterMs = 0;
    std::int64_t waitedUs = 0;
    std::uint32_t queueLength = 0;
    std::uint64_t configuration = 0;     ///< Version of the configuration in force at the sender.
    std::int64_t targetListAgeMs = 0;    ///< Age of the sender's list of targets.
    std::int64_t configurationAgeMs = 0; ///< Time since `configuration` was last known as newest.
    std::uint8_t rank = 0;               ///< The sender's coordination::coordinator_rank.
    std::string peer; ///< Address of another instance, for the receiver's peer list; may be empty.
    std::int64_t storeServedMs = 0;   ///< See target_directory::storeServedFor().
    bool hasDeferredRemovals = false; ///< The sender's list keeps targets that may have left.
    evacuations_message evacuations{};
    bool hasSendLimit = false;
    std::int64_t sendWithinMs = 0; ///< Time left to send the request, if that is limited.
    store_era era{};               ///< Latest one that the sender knows.

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(service, token, target, targetHost, targetPort, reason, retryAfterMs, waitedUs,
                queueLength, configuration, targetListAgeMs, configurationAgeMs, rank, peer,
                storeServedMs, hasDeferredRemovals, evacuations, hasSendLimit, sendWithinMs, era);
    }
};

/// Asks which instance coordinates a service. The coordinator answers with a place_answer_message
/// with token 0, other instances with a not_coordinator_message.
struct coordinator_query_message {
    service_name service;
    store_era era{}; ///< Latest one that the sender knows.

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(service, era);
    }
};

/// Answers a place_request_message or a query: the sender does not coordinate the service. Names
/// the newest coordinator that the sender knows.
struct not_coordinator_message {
    service_name service;
    request_token token = 0;
    std::uint64_t term = 0;  ///< The known coordinator's term; 0 if none is known.
    std::string coordinator; ///< The known coordinator's address.
    evacuations_message evacuations{};
    store_era era{}; ///< Latest one that the sender knows.

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(service, token, term, coordinator, evacuations, era);
    }
};

/// Reports to the coordinator that a request has ended, so that its slot is free again.
struct ended_message {
    service_name service;
    request_token token = 0;
    std::uint8_t result = 0; ///< A run_result.
    std::int64_t durationUs = 0;
    bool hasLoad = false;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    std::uint32_t workPercent = 0; ///< As in target_load.

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(service, token, result, durationUs, hasLoad, running, waiting, slots, workPercent);
    }
};

/// Confirms an ended_message.
struct ended_ack_message {
    request_token token = 0;

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(token);
    }
};

/// One crash of a target while it ran a request.
struct crash_note {
    target_id target;
    std::int64_t ageMs = 0; ///< Time from the crash to the sending of the notice.

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(target, ageMs);
    }
};

/// Tells another instance which targets have crashed while they ran a request; none if it was
/// answered since.
struct crash_notice_message {
    service_name service;
    std::uint64_t fingerprint = 0;
    std::vector<crash_note> crashes;

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(service, fingerprint, crashes);
    }
};

/// What one target stated about itself in an answer.
struct stated_target {
    target_id target;
    std::int64_t requestAgeMs = 0; ///< Time since the request was sent that the target answered.
    std::int64_t ageMs = 0;        ///< Time since its answer was received.
    bool hasRateLimit = false;
    double rateLimit = 0.0;
    bool isLeaving = false;
    std::int64_t pauseMs = 0; ///< Counts from the receipt of the answer.

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(target, requestAgeMs, ageMs, hasRateLimit, rateLimit, isLeaving, pauseMs);
    }
};

/// Tells the coordinator of a service what its targets stated about themselves.
struct target_statements_message {
    service_name service;
    std::vector<stated_target> targets;

    template <class archive_type>
    void serialize(archive_type &archive)
    {
        archive(service, targets);
    }
};

using peer_message =
        std::variant<place_request_message, place_answer_message, ended_message, ended_ack_message,
                     not_coordinator_message, coordinator_query_message, crash_notice_message,
                     target_statements_message, evacuations_message>;

/// Decodes a message of another instance. All that it names is checked here: texts are plain,
/// addresses and numbers in range, so that they can be used and passed on as they are.
/// @param bytes the bytes of one datagram.
/// @return the message, or BadMessage if it can't be decoded or a value is out of range.
result<peer_message> decodePlacementMessage(const std::string &bytes);

} // namespace clementinebeam
