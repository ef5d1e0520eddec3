#include "clementinebeam/answers/answerhead.h"

namespace clementinebeam {

namespace {

namespace http = boost::beast::http;

constexpr unsigned MIN_STATUS = 100;
constexpr unsigned MAX_STATUS = 599;
constexpr unsigned HTTP_SWITCHING_PROTOCOLS = 101;

} // namespace

std::error_code checkAnswerHead(const http::response_header<> &head)
{
    const auto status = head.result_int();
    if (status < MIN_STATUS || status > MAX_STATUS)
        return answer_error::InvalidStatus;
    if (status == HTTP_SWITCHING_PROTOCOLS)
        return answer_error::ProtocolSwitched;
    return {};
}

} // namespace clementinebeam
