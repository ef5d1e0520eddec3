#include "clementinebeam/answers/answerhead.h"

#include <boost/beast/http/rfc7230.hpp>

#include <iterator>

namespace clementinebeam {

namespace {

namespace http = boost::beast::http;

constexpr unsigned MIN_STATUS = 100;
constexpr unsigned MAX_STATUS = 599;
constexpr unsigned HTTP_SWITCHING_PROTOCOLS = 101;
constexpr unsigned HTTP_NO_CONTENT = 204;
constexpr unsigned HTTP_1_1 = 11;

/// The parser takes any coding that it does not know for a body that ends with the connection.
bool isOnlyChunked(const http::response_header<> &head)
{
    if (head.count(http::field::transfer_encoding) != 1)
        return false;
    const http::opt_token_list codings(head[http::field::transfer_encoding]);
    return http::validate_list(codings) && std::distance(codings.begin(), codings.end()) == 1
            && boost::beast::iequals(*codings.begin(), "chunked");
}

bool announcesBody(const http::response_header<> &head)
{
    return head.count(http::field::transfer_encoding) > 0
            || head[http::field::content_length].find_first_of("123456789")
            != boost::beast::string_view::npos;
}

} // namespace

std::error_code checkAnswerHead(const http::response_header<> &head)
{
    const auto status = head.result_int();
    if (status < MIN_STATUS || status > MAX_STATUS)
        return answer_error::InvalidStatus;
    if (status == HTTP_SWITCHING_PROTOCOLS)
        return answer_error::ProtocolSwitched;
    if (head.count(http::field::transfer_encoding) > 0
        && (head.version() < HTTP_1_1 || !isOnlyChunked(head)))
        return answer_error::InvalidTransferCoding;
    const bool hasNeverBody = status / 100 == 1 || status == HTTP_NO_CONTENT;
    if (hasNeverBody && announcesBody(head))
        return answer_error::BodyNotAllowed;
    return {};
}

} // namespace clementinebeam
