#pragma once

#include <functional>
#include <system_error>

namespace clementinebeam {

/// Why received bytes are not one whole answer of HTTP/1.1, beyond the errors of the parser.
enum class answer_error {
    InvalidStatus = 1,      ///< The status code is outside of 100 to 599.
    ProtocolSwitched,       ///< The peer changed to another protocol, which nobody asked for.
    InvalidTransferCoding,  ///< Not just "chunked", or in a message of HTTP/1.0.
    BodyNotAllowed,         ///< The head announces a body that answers of its status don't have.
    UnknownLength,          ///< The head does not tell the length, which the receiver requires.
    HeadCutOff,             ///< The connection ended within the head.
    BodyCutOff,             ///< The connection ended within the body.
    ConnectionFailed,       ///< The connection failed, so the end of the body is not known.
    TooMuchUnparsed,        ///< One element, such as a field, has no end.
    TooManyInterimAnswers,  ///< More interim answers (1xx) than peers normally send.
    TooManyUnrelatedAnswers ///< Too many answers that belong to other calls.
};

/// Called with the reason when an answer is refused because it is broken.
using broken_answer_handler = std::function<void(const std::error_code &reason)>;

/// @return the category of the error codes made from answer_error.
const std::error_category &answerErrorCategory() noexcept;

/// Enables implicit conversion of an answer_error to std::error_code.
std::error_code
make_error_code(answer_error error) noexcept; // NOLINT(readability-identifier-naming)

} // namespace clementinebeam

template <>
struct std::is_error_code_enum<clementinebeam::answer_error> : std::true_type { };
