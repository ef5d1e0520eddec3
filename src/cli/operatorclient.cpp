#include "operatorclient.h"

#include "clementinebeam/http/httpconnection.h"

#include <civetweb.h>

namespace clementinebeam {

namespace {

constexpr std::chrono::seconds RESPONSE_TIMEOUT{15};
constexpr std::size_t ESCAPE_BYTES = 3;

} // namespace

std::string encodeQuery(const std::string &text)
{
    std::string encoded(text.size() * ESCAPE_BYTES + 1, '\0');
    const int length = mg_url_encode(text.c_str(), encoded.data(), encoded.size());
    encoded.resize(length < 0 ? 0 : static_cast<std::size_t>(length));
    return encoded;
}

operator_client::operator_client(network_address address, std::string token)
    : m_address(std::move(address))
    , m_token(std::move(token))
{ }

result<operator_response> operator_client::get(const std::string &path,
                                               const std::string &query) const
{
    http_request request;
    request.path = path;
    request.query = query;
    return exchange(std::move(request));
}

result<operator_response> operator_client::post(const std::string &path, const std::string &query,
                                                const std::string &body) const
{
    http_request request;
    request.method = "POST";
    request.path = path;
    request.query = query;
    request.body = body;
    return exchange(std::move(request));
}

result<operator_response> operator_client::exchange(http_request request) const
{
    request.headers.add("Authorization", "Bearer " + m_token);
    http_connection connection;
    if (connection.open(m_address))
        return make_error_code(error_kind::PeerUnreachable);
    auto response = connection.exchange(request, boot_clock::now() + RESPONSE_TIMEOUT);
    if (connection.brokenAnswer())
        return connection.brokenAnswer();
    if (!response)
        return make_error_code(error_kind::PeerUnreachable);
    operator_response parsed;
    parsed.status = response.value().status;
    parsed.document = nlohmann::json::parse(response.value().body, nullptr, false);
    if (parsed.document.is_discarded())
        return make_error_code(error_kind::BadMessage);
    return parsed;
}

} // namespace clementinebeam
