#include "clementinebeam/http/httpconnection.h"

#include <algorithm>
#include <array>
#include <civetweb.h>

namespace clementinebeam {

namespace {

constexpr std::size_t ERROR_BYTES = 128;
constexpr std::size_t READ_BYTES = 16384;
constexpr std::size_t MAX_RESPONSE_BYTES = 16 << 20;

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

http_connection::~http_connection()
{
    close();
}

std::error_code http_connection::open(const network_address &address)
{
    close();
    m_address = address;
    std::array<char, ERROR_BYTES> error{};
    m_connection =
            mg_connect_client(address.host.c_str(), address.port, 0, error.data(), error.size());
    if (!m_connection)
        return error_kind::TargetUnreachable;
    return {};
}

void http_connection::close()
{
    if (m_connection)
        mg_close_connection(m_connection);
    m_connection = nullptr;
}

result<http_response> http_connection::exchange(const http_request &request, instant deadline)
{
    if (!m_connection)
        return make_error_code(error_kind::TargetUnreachable);
    const auto text = formatRequest(request, m_address);
    const int written = mg_write(m_connection, text.data(), text.size());
    if (written <= 0) {
        close();
        return make_error_code(error_kind::TargetUnreachable);
    }
    if (static_cast<std::size_t>(written) < text.size()) {
        close();
        return make_error_code(error_kind::ConnectionLost);
    }
    auto response = readResponse(deadline);
    if (!response)
        close();
    return response;
}

result<http_response> http_connection::readResponse(instant deadline)
{
    const auto remaining =
            std::chrono::ceil<std::chrono::milliseconds>(deadline - boot_clock::now());
    std::array<char, ERROR_BYTES> error{};
    const int timeout = static_cast<int>(std::max<std::int64_t>(1, remaining.count()));
    if (mg_get_response(m_connection, error.data(), error.size(), timeout) < 0) {
        const bool late = boot_clock::now() >= deadline;
        return make_error_code(late ? error_kind::DeadlineExceeded : error_kind::ConnectionLost);
    }
    const auto *info = mg_get_response_info(m_connection);
    if (info->content_length < 0
        || info->content_length > static_cast<long long>(MAX_RESPONSE_BYTES))
        return make_error_code(error_kind::AnswerIncomplete);
    http_response response;
    response.status = info->status_code;
    for (int index = 0; index < info->num_headers; ++index)
        response.headers.add(info->http_headers[index].name, info->http_headers[index].value);
    const auto length = static_cast<std::size_t>(info->content_length);
    std::array<char, READ_BYTES> buffer{};
    while (response.body.size() < length) {
        const auto chunkBytes = std::min(buffer.size(), length - response.body.size());
        const int got = mg_read(m_connection, buffer.data(), chunkBytes);
        if (got <= 0)
            return make_error_code(error_kind::AnswerIncomplete);
        response.body.append(buffer.data(), static_cast<std::size_t>(got));
    }
    if (mg_strcasecmp(std::string(response.headers.find("Connection")).c_str(), "close") == 0)
        close();
    return response;
}

} // namespace clementinebeam
