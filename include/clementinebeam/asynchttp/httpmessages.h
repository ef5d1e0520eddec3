#pragma once

#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace clementinebeam {

using http_call = boost::beast::http::request<boost::beast::http::string_body>;
using http_answer = boost::beast::http::response<boost::beast::http::string_body>;
using tcp_endpoint = boost::asio::ip::tcp::endpoint;

/// Why an exchange ended without a complete answer.
enum class exchange_failure {
    None,
    NotSent,         ///< No byte of the call left this process.
    ConnectionLost,  ///< The connection ended after writing the call had begun.
    MalformedAnswer, ///< The peer sent invalid HTTP or an incomplete answer.
    AnswerTooLarge,  ///< The answer exceeds the size limit or the memory budget.
};

/// @param failure why an exchange failed.
/// @return its name for logs and metrics.
constexpr const char *nameOf(exchange_failure failure)
{
    switch (failure) {
    case exchange_failure::None:
        return "none";
    case exchange_failure::NotSent:
        return "not_sent";
    case exchange_failure::ConnectionLost:
        return "connection_lost";
    case exchange_failure::MalformedAnswer:
        return "malformed_answer";
    case exchange_failure::AnswerTooLarge:
        break;
    }
    return "answer_too_large";
}

} // namespace clementinebeam
