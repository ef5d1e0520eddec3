#include "clementinebeam/http/httpserver.h"

#include "clementinebeam/kernel/bootclock.h"
#include "clementinebeam/kernel/scopeexit.h"

#include <array>
#include <civetweb.h>
#include <csignal>
#include <thread>

namespace clementinebeam {

namespace {

constexpr std::size_t READ_BYTES = 16384;
constexpr std::chrono::milliseconds STOP_POLL_INTERVAL{5};
constexpr int HTTP_OK = 200;
constexpr int HTTP_BAD_REQUEST = 400;
constexpr int HTTP_REQUEST_TIMEOUT = 408;
constexpr int HTTP_TOO_LARGE = 413;
constexpr int HTTP_UNAVAILABLE = 503;
/// Least rate of a body while most threads read bodies, and the age from which it counts.
constexpr std::size_t LEAST_BYTES_PER_S = 32768;
constexpr std::chrono::milliseconds RATE_GRACE{500};

std::string_view statusText(mg_connection *connection, int status)
{
    return mg_get_response_code_text(connection, status);
}

std::string nameOf(int status)
{
    switch (status) {
    case HTTP_REQUEST_TIMEOUT:
        return "body too slow\n";
    case HTTP_TOO_LARGE:
        return "body too large\n";
    case HTTP_UNAVAILABLE:
        return "no memory for the body\n";
    default:
        return "body incomplete\n";
    }
}

http_response textError(int status, std::string text)
{
    http_response response;
    response.status = status;
    response.headers.add("Content-Type", "text/plain");
    response.body = std::move(text);
    return response;
}

} // namespace

http_server::http_server(server_settings settings, http_handler handler)
    : m_settings(std::move(settings))
    , m_handler(std::move(handler))
    , m_handlerSlots(static_cast<std::ptrdiff_t>(m_settings.handlers > 0 ? m_settings.handlers
                                                                         : m_settings.threads))
{ }

http_server::~http_server()
{
    stop();
}

std::error_code http_server::start()
{
    std::signal(SIGPIPE, SIG_IGN);
    const bool secure = !m_settings.certificateFile.empty();
    if (mg_init_library(secure ? MG_FEATURES_TLS : MG_FEATURES_DEFAULT) == 0 && secure)
        return error_kind::Internal;
    const auto port = m_settings.address.text() + (secure ? "s" : "");
    const auto threads = std::to_string(m_settings.threads);
    const auto requestTimeout = std::to_string(m_settings.requestTimeout.count());
    const auto keepAlive = std::to_string(m_settings.keepAliveTimeout.count());
    const auto headerBytes = std::to_string(m_settings.maxHeaderBytes);
    std::vector<const char *> options{
            "listening_ports",
            port.c_str(),
            "num_threads",
            threads.c_str(),
            "enable_keep_alive",
            "yes",
            "keep_alive_timeout_ms",
            keepAlive.c_str(),
            "request_timeout_ms",
            requestTimeout.c_str(),
            "max_request_size",
            headerBytes.c_str(),
            "tcp_nodelay",
            "1",
            "connection_queue",
            "256",
            "listen_backlog",
            "256",
            "decode_url",
            "yes",
    };
    if (secure) {
        options.push_back("ssl_certificate");
        options.push_back(m_settings.certificateFile.c_str());
    }
    options.push_back(nullptr);
    mg_callbacks callbacks{};
    callbacks.connection_closed = &http_server::onConnectionClosed;
    m_context = mg_start(&callbacks, this, options.data());
    if (!m_context)
        return std::make_error_code(std::errc::address_in_use);
    mg_set_request_handler(m_context, "/", &http_server::handleRequest, this);
    return {};
}

void http_server::stop()
{
    if (!m_context)
        return;
    // The library cuts off responses that are being written when it stops, and resets connections
    // on which callers send on while they read.
    const auto hasCallers = [this] {
        const std::lock_guard lock(m_endedMutex);
        return m_writers > 0 || !m_ended.empty();
    };
    const auto limit = boot_clock::now() + m_settings.stopTimeout;
    while (hasCallers() && boot_clock::now() < limit)
        std::this_thread::sleep_for(STOP_POLL_INTERVAL);
    mg_stop(m_context);
    m_context = nullptr;
}

void http_server::onConnectionClosed(const mg_connection *connection)
{
    auto *self = static_cast<http_server *>(mg_get_user_data(mg_get_context(connection)));
    const std::lock_guard lock(self->m_endedMutex);
    self->m_ended.erase(connection);
}

bool http_server::isEnded(const mg_connection *connection) const
{
    const std::lock_guard lock(m_endedMutex);
    return m_ended.contains(connection);
}

int http_server::handleRequest(mg_connection *connection, void *self)
{
    return static_cast<http_server *>(self)->handle(connection);
}

int http_server::handle(mg_connection *connection)
{
    // What is sent behind the last response of a connection counts as not read.
    if (isEnded(connection))
        return HTTP_OK;
    const auto response = respond(connection);
    std::string text = "HTTP/1.1 " + std::to_string(response.status) + ' ';
    text += statusText(connection, response.status);
    text += "\r\n";
    for (const auto &header : response.headers.entries())
        text += header.name + ": " + header.value + "\r\n";
    text += "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n";
    text += response.body;
    {
        ++m_writers;
        const scope_exit done([this] { --m_writers; });
        mg_write(connection, text.data(), text.size());
    }
    if (response.headers.find("Connection") == "close") {
        const std::lock_guard lock(m_endedMutex);
        m_ended.insert(connection);
    }
    return response.status;
}

http_response http_server::respond(mg_connection *connection)
{
    const auto *info = mg_get_request_info(connection);
    http_request request;
    request.method = info->request_method;
    request.path = info->local_uri ? info->local_uri : "";
    request.query = info->query_string ? info->query_string : "";
    request.remoteAddress = info->remote_addr;
    for (int index = 0; index < info->num_headers; ++index)
        request.headers.add(info->http_headers[index].name, info->http_headers[index].value);
    int status = HTTP_TOO_LARGE;
    if (info->content_length <= static_cast<long long>(m_settings.maxBodyBytes))
        status = readBody(connection, request.body);
    const scope_exit release([this, &request] { m_bodyBytes -= request.body.size(); });
    if (status == 0 && info->content_length >= 0
        && request.body.size() != static_cast<std::size_t>(info->content_length))
        status = HTTP_BAD_REQUEST;
    if (status != 0) {
        // Otherwise, the thread would read on until the rest of the body has arrived.
        mg_disable_connection_keep_alive(connection);
        auto response = textError(status, nameOf(status));
        response.headers.add("Connection", "close");
        if (status == HTTP_UNAVAILABLE)
            response.headers.add("Retry-After", "1");
        return response;
    }
    m_handlerSlots.acquire();
    const scope_exit leave([this] { m_handlerSlots.release(); });
    return m_handler(request);
}

/// @return the status that the request is refused with, or 0.
int http_server::readBody(mg_connection *connection, std::string &body)
{
    using std::chrono::milliseconds;
    const auto start = boot_clock::now();
    ++m_readers;
    const scope_exit done([this] { --m_readers; });
    std::array<char, READ_BYTES> buffer{};
    for (;;) {
        const int got = mg_read(connection, buffer.data(), buffer.size());
        if (got <= 0)
            return 0;
        const auto bytes = static_cast<std::size_t>(got);
        if (body.size() + bytes > m_settings.maxBodyBytes)
            return HTTP_TOO_LARGE;
        const auto total = m_bodyBytes += bytes;
        body.append(buffer.data(), bytes);
        if (m_settings.maxTotalBodyBytes > 0 && total > m_settings.maxTotalBodyBytes)
            return HTTP_UNAVAILABLE;
        if (isTooSlow(body.size(),
                      std::chrono::duration_cast<milliseconds>(boot_clock::now() - start)))
            return HTTP_REQUEST_TIMEOUT;
    }
}

bool http_server::isTooSlow(std::size_t received, std::chrono::milliseconds age) const
{
    if (age > m_settings.bodyTimeout)
        return true;
    const bool isCrowded = m_readers > m_settings.threads / 2;
    return isCrowded && age > RATE_GRACE
            && received * 1000 < LEAST_BYTES_PER_S * static_cast<std::size_t>(age.count());
}

} // namespace clementinebeam
