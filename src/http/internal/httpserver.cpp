#include "clementinebeam/http/httpserver.h"

#include <array>
#include <civetweb.h>
#include <csignal>

namespace clementinebeam {

namespace {

constexpr std::size_t READ_BYTES = 16384;

std::string_view statusText(mg_connection *connection, int status)
{
    return mg_get_response_code_text(connection, status);
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
    m_context = mg_start(&callbacks, this, options.data());
    if (!m_context)
        return std::make_error_code(std::errc::address_in_use);
    mg_set_request_handler(m_context, "/", &http_server::handleRequest, this);
    return {};
}

void http_server::stop()
{
    if (m_context)
        mg_stop(m_context);
    m_context = nullptr;
}

int http_server::handleRequest(mg_connection *connection, void *self)
{
    return static_cast<http_server *>(self)->handle(connection);
}

int http_server::handle(mg_connection *connection)
{
    const auto response = respond(connection);
    std::string text = "HTTP/1.1 " + std::to_string(response.status) + ' ';
    text += statusText(connection, response.status);
    text += "\r\n";
    for (const auto &header : response.headers.entries())
        text += header.name + ": " + header.value + "\r\n";
    text += "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n";
    text += response.body;
    mg_write(connection, text.data(), text.size());
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
    if (info->content_length > static_cast<long long>(m_settings.maxBodyBytes)) {
        auto response = textError(413, "body too large\n");
        response.headers.add("Connection", "close");
        return response;
    }
    std::array<char, READ_BYTES> buffer{};
    for (;;) {
        const int got = mg_read(connection, buffer.data(), buffer.size());
        if (got <= 0)
            break;
        request.body.append(buffer.data(), static_cast<std::size_t>(got));
        if (request.body.size() > m_settings.maxBodyBytes)
            return textError(413, "body too large\n");
    }
    if (info->content_length >= 0
        && request.body.size() != static_cast<std::size_t>(info->content_length))
        return textError(400, "body incomplete\n");
    return m_handler(request);
}

} // namespace clementinebeam
