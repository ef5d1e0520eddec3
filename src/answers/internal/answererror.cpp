#include "clementinebeam/answers/answererror.h"

#include <string>

namespace clementinebeam {

namespace {

class answer_category : public std::error_category
{
public:
    const char *name() const noexcept override { return "clementinebeam.answer"; }

    std::string message(int value) const override
    {
        switch (static_cast<answer_error>(value)) {
        case answer_error::InvalidStatus:
            return "invalid status";
        case answer_error::ProtocolSwitched:
            return "protocol switched";
        case answer_error::InvalidTransferCoding:
            return "invalid transfer coding";
        case answer_error::BodyNotAllowed:
            return "body not allowed";
        case answer_error::UnknownLength:
            return "unknown length";
        case answer_error::HeadCutOff:
            return "head cut off";
        case answer_error::BodyCutOff:
            return "body cut off";
        case answer_error::ConnectionFailed:
            return "connection failed";
        case answer_error::TooMuchUnparsed:
            return "too much unparsed";
        case answer_error::TooManyInterimAnswers:
            return "too many interim answers";
        case answer_error::TooManyUnrelatedAnswers:
            return "too many unrelated answers";
        }
        return "unknown";
    }
};

} // namespace

const std::error_category &answerErrorCategory() noexcept
{
    static const answer_category CATEGORY;
    return CATEGORY;
}

std::error_code make_error_code(answer_error error) noexcept
{
    return {static_cast<int>(error), answerErrorCategory()};
}

} // namespace clementinebeam
