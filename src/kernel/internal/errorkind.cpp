#include "clementinebeam/kernel/errorkind.h"

#include <array>
#include <string>

namespace clementinebeam {

namespace {

using enum error_kind;
constexpr auto ANSWERED = outcome::Answered;
constexpr auto NOT_RUN = outcome::NotRun;
constexpr auto UNKNOWN = outcome::Unknown;

constexpr std::array ANSWERS{
        error_answer{None, 200, ANSWERED, "ok", "The request was answered."},
        error_answer{BadRequest, 400, NOT_RUN, "bad_request", "The request is malformed."},
        error_answer{TooLarge, 413, NOT_RUN, "too_large",
                     "A part of the request is over its limit."},
        error_answer{UnknownService, 404, NOT_RUN, "unknown_service",
                     "No such service is configured."},
        error_answer{UnknownKind, 404, NOT_RUN, "unknown_kind",
                     "The service has no such request kind."},
        error_answer{Unauthorized, 401, NOT_RUN, "unauthorized",
                     "The token is missing or unknown."},
        error_answer{Forbidden, 403, NOT_RUN, "forbidden", "The department may not change this."},
        error_answer{NotFound, 404, NOT_RUN, "not_found", "There is nothing of that name."},
        error_answer{VersionConflict, 409, NOT_RUN, "version_conflict",
                     "The patch names a base version that is not the current one."},
        error_answer{InvalidSettings, 422, NOT_RUN, "invalid_settings",
                     "The settings are invalid."},
        error_answer{RequestIdConflict, 409, UNKNOWN, "request_id_conflict",
                     "The request id was used for another request."},
        error_answer{RequestIdExpired, 504, UNKNOWN, "request_id_expired",
                     "The request id is older than the ledger's memory."},
        error_answer{RequestInProgress, 504, UNKNOWN, "request_in_progress",
                     "An earlier copy of the request has not finished."},
        error_answer{RequestQuarantined, 422, NOT_RUN, "request_quarantined",
                     "Targets crashed while they ran this request."},
        error_answer{Overloaded, 503, NOT_RUN, "overloaded", "The owner's queue is full."},
        error_answer{DeadlineExceeded, 504, NOT_RUN, "deadline_exceeded",
                     "The deadline passed before the request was sent."},
        error_answer{NoOwner, 503, NOT_RUN, "no_owner", "The key has no owner at present."},
        error_answer{LedgerUnavailable, 503, NOT_RUN, "ledger_unavailable",
                     "The request could not be recorded."},
        error_answer{NotLeader, 503, NOT_RUN, "not_leader",
                     "The instance does not lead the shard."},
        error_answer{WrongEpoch, 503, NOT_RUN, "wrong_epoch", "The target does not own the slot."},
        error_answer{TargetRefused, 503, NOT_RUN, "target_refused",
                     "The target refused the request."},
        error_answer{TargetDraining, 503, NOT_RUN, "target_draining", "The target is draining."},
        error_answer{TargetUnreachable, 503, NOT_RUN, "target_unreachable",
                     "No connection to the target could be opened."},
        error_answer{ConnectionLost, 502, UNKNOWN, "connection_lost",
                     "The connection was lost after the request was sent."},
        error_answer{AnswerIncomplete, 502, UNKNOWN, "answer_incomplete",
                     "The target's answer was cut off or did not belong to the request."},
        error_answer{LogUnavailable, 503, NOT_RUN, "log_unavailable", "The log cannot be reached."},
        error_answer{PeerUnreachable, 503, NOT_RUN, "peer_unreachable",
                     "Another instance cannot be reached."},
        error_answer{BadMessage, 400, NOT_RUN, "bad_message", "A message could not be decoded."},
        error_answer{MessageUnauthenticated, 401, NOT_RUN, "message_unauthenticated",
                     "A message has a wrong authentication code."},
        error_answer{MessageVersion, 400, NOT_RUN, "message_version",
                     "A message is of another protocol version."},
        error_answer{ShuttingDown, 503, NOT_RUN, "shutting_down", "The instance is shutting down."},
        error_answer{NotReady, 503, NOT_RUN, "not_ready", "The instance has not caught up yet."},
        error_answer{Internal, 500, UNKNOWN, "internal", "An internal error occurred."},
};

static_assert(ANSWERS.size() == static_cast<std::size_t>(Internal) + 1);

class clementinebeam_category : public std::error_category
{
public:
    const char *name() const noexcept override { return "clementinebeam"; }

    std::string message(int value) const override
    {
        return std::string(answerFor(static_cast<error_kind>(value)).text);
    }
};

} // namespace

const error_answer &answerFor(error_kind kind) noexcept
{
    const auto index = static_cast<std::size_t>(kind);
    return index < ANSWERS.size() ? ANSWERS[index] : ANSWERS.back();
}

error_kind errorKindFromReason(std::string_view reason) noexcept
{
    for (const auto &answer : ANSWERS) {
        if (answer.reason == reason)
            return answer.kind;
    }
    return Internal;
}

std::string_view outcomeName(outcome value) noexcept
{
    switch (value) {
    case outcome::Answered:
        return "answered";
    case outcome::NotRun:
        return "not_run";
    case outcome::Unknown:
        break;
    }
    return "unknown";
}

const std::error_category &errorCategory() noexcept
{
    static const clementinebeam_category CATEGORY;
    return CATEGORY;
}

std::error_code make_error_code(error_kind kind) noexcept
{
    return {static_cast<int>(kind), errorCategory()};
}

error_kind kindOf(const std::error_code &code) noexcept
{
    if (!code)
        return None;
    return code.category() == errorCategory() ? static_cast<error_kind>(code.value()) : Internal;
}

} // namespace clementinebeam
