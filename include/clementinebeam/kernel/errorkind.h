#pragma once

#include <string_view>
#include <system_error>

namespace clementinebeam {

/// Tells a caller whether its request was executed.
enum class outcome {
    Answered, ///< The owner executed the request; its complete answer follows.
    NotRun,   ///< The request was certainly not executed.
    Unknown,  ///< The request may or may not have been executed.
};

/// All errors that callers and operators can get. answerFor() has an entry for each of them.
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
    std::string_view text;   ///< Human-readable description, one sentence.
};

/// @param kind an error kind.
/// @return its status, outcome, reason and text; those of Internal for a value outside the enum.
const error_answer &answerFor(error_kind kind) noexcept;

/// @param reason the machine-readable reason.
/// @return the error kind with that reason, or Internal if no kind has it.
error_kind errorKindFromReason(std::string_view reason) noexcept;

/// @param value an outcome.
/// @return its name as used on the wire: "answered", "not_run" or "unknown".
std::string_view outcomeName(outcome value) noexcept;

/// @return the category of the error codes made from error_kind.
const std::error_category &errorCategory() noexcept;

/// Enables implicit conversion of an error_kind to std::error_code.
std::error_code make_error_code(error_kind kind) noexcept; // NOLINT(readability-identifier-naming)

/// @param code any error code.
/// @return its error kind: None for success, Internal for an error of another category.
error_kind kindOf(const std::error_code &code) noexcept;

} // namespace clementinebeam

template <>
struct std::is_error_code_enum<clementinebeam::error_kind> : std::true_type { };
