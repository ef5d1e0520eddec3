#pragma once

#include <string_view>
#include <system_error>

namespace clementinebeam {

/// What a caller is told about its request.
enum class outcome {
    Answered, ///< The owner ran the request; its whole answer follows.
    NotRun,   ///< The request was provably not run.
    Unknown,  ///< The request may or may not have run.
};

/// The closed list of errors. Each kind has one row in the answer table.
enum class error_kind {
    None = 0,
    BadRequest,
    TooLarge,
    UnknownService,
    UnknownKind,
    Unauthorized,
    Forbidden,
    NotFound,
    VersionConflict,
    InvalidSettings,
    RequestIdConflict,
    RequestIdExpired,
    RequestInProgress,
    RequestQuarantined,
    Overloaded,
    DeadlineExceeded,
    NoOwner,
    LedgerUnavailable,
    NotLeader,
    WrongEpoch,
    TargetRefused,
    TargetDraining,
    TargetUnreachable,
    ConnectionLost,
    AnswerIncomplete,
    LogUnavailable,
    PeerUnreachable,
    BadMessage,
    MessageUnauthenticated,
    MessageVersion,
    ShuttingDown,
    NotReady,
    Internal,
};

/// The answer that a caller or an operator gets for an error kind.
struct error_answer {
    error_kind kind;
    int httpStatus;
    outcome result;
    std::string_view reason; ///< Machine-readable reason, stable across versions.
    std::string_view text;   ///< One sentence for people.
};

/// @param kind any kind.
/// @return the row of the answer table for @p kind.
const error_answer &answerFor(error_kind kind) noexcept;

/// @param reason the machine-readable reason.
/// @return the kind with that reason, or Internal if there is none.
error_kind errorKindFromReason(std::string_view reason) noexcept;

/// @param value an outcome.
/// @return its name as used on the wire: "answered", "not_run" or "unknown".
std::string_view outcomeName(outcome value) noexcept;

/// @return the category of clementinebeam's error codes.
const std::error_category &errorCategory() noexcept;

/// Enables implicit conversion of an error_kind to std::error_code.
std::error_code make_error_code(error_kind kind) noexcept; // NOLINT(readability-identifier-naming)

/// @param code any error code.
/// @return its kind, or Internal if it is of another category.
error_kind kindOf(const std::error_code &code) noexcept;

} // namespace clementinebeam

template <>
struct std::is_error_code_enum<clementinebeam::error_kind> : std::true_type { };
