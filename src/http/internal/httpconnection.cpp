#include "clementinebeam/http/httpconnection.h"

#include "clementinebeam/answers/answererror.h"
#include "internal/deadlinesocket.h"
#include "internal/responsereader.h"

#include <civetweb.h>

namespace clementinebeam {

namespace {

constexpr std::chrono::seconds CONNECT_TIMEOUT{10};

std::string encodePath(const std::string &path)
{
    constexpr std::size_t ESCAPE_BYTES = 3;
    std::string encoded(path.size() * ESCAPE_BYTES + 1, '\0');
    const int length = mg_url_encode(path.c_str(), encoded.data(), encoded.size());
    encoded.resize(length < 0 ? 0 : static_cast<std::size_t>(length));
    // mg_url_encode() also encodes the path separators.
    std::string result;
    for (std::size_t position = 0; position < encoded.size(); ++position) {
        if (encoded.compare(position, ESCAPE_BYTES, "%2f") == 0) {
            result += '/';
            position += 2;
        } else {
            result += encoded[position];
        }
    }
    return result;
}

std::string formatRequest(const http_request &request, const network_address &address)
{
    std::string text = request.method + ' ' + encodePath(request.path);
    if (!request.query.empty())
        text += '?' + request.query;
    text += " HTTP/1.1\r\nHost: " + address.text() + "\r\n";
    for (const auto &header : request.headers.entries())
        text += header.name + ": " + header.value + "\r\n";
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n";
    text += request.body;
    return text;
}

} // namespace

http_connection::http_connection()
    : m_socket(std::make_unique<deadline_socket>())
{ }

http_connection::~http_connection() = default;

std::error_code http_connection::open(const network_address &address)
{
    m_address = address;
    if (m_socket->connect(address, boot_clock::now() + CONNECT_TIMEOUT))
        return error_kind::TargetUnreachable;
    return {};
}

void http_connection::close()
{
    m_socket->close();
}

bool http_connection::isOpen() const
{
    return m_socket->isOpen();
}

bool http_connection::isReusable() const
{
    return m_socket->isQuiet();
}

result<http_response> http_connection::exchange(const http_request &request, instant deadline)
{
    m_brokenAnswer = {};
    if (!isReusable()) {
        close();
        return make_error_code(error_kind::TargetUnreachable);
    }
    std::size_t written = 0;
    const auto error = m_socket->write(formatRequest(request, m_address), deadline, written);
    if (error) {
        close();
        if (written == 0)
            return make_error_code(error_kind::TargetUnreachable);
        return make_error_code(error == std::errc::timed_out ? error_kind::DeadlineExceeded
                                                             : error_kind::ConnectionLost);
    }
    response_reader reader(*m_socket, request.method == "HEAD");
    if (const auto failure = reader.read(deadline)) {
        close();
        if (failure == std::errc::timed_out)
            return make_error_code(error_kind::DeadlineExceeded);
        if (!reader.hasStarted())
            return make_error_code(error_kind::ConnectionLost);
        m_brokenAnswer = failure;
        return make_error_code(failure == answer_error::HeadCutOff ? error_kind::ConnectionLost
                                                                   : error_kind::AnswerIncomplete);
    }
    if (!reader.mayContinue())
        close();
    return reader.takeResponse();
}

} // namespace clementinebeam
