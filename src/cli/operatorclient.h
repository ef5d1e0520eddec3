#pragma once

#include "clementinebeam/http/httptypes.h"
#include "clementinebeam/kernel/result.h"

#include <nlohmann/json.hpp>
#include <string>

namespace clementinebeam {

/// Response of an instance's operator interface.
struct operator_response {
    int status = 0; ///< HTTP status code.
    nlohmann::json document;
};

/// Client of an instance's operator interface. Calls block and open a connection each.
class operator_client
{
public:
    /// @param address operator listener of the instance.
    /// @param token bearer token of the department.
    operator_client(network_address address, std::string token);

    /// Sends a GET request.
    /// @param path path of the resource.
    /// @param query encoded query parameters.
    /// @return the response; PeerUnreachable if none arrived, BadMessage if it is not JSON, or why
    ///         it is not an answer of HTTP/1.1.
    result<operator_response> get(const std::string &path, const std::string &query = {}) const;

    /// Sends a POST request.
    /// @param path path of the resource.
    /// @param query encoded query parameters.
    /// @param body content of the request.
    /// @return the response; PeerUnreachable if none arrived, BadMessage if it is not JSON, or why
    ///         it is not an answer of HTTP/1.1.
    result<operator_response> post(const std::string &path, const std::string &query,
                                   const std::string &body) const;

private:
    result<operator_response> exchange(http_request request) const;

    network_address m_address;
    std::string m_token;
};

/// @param text any text.
/// @return the percent-encoded text, for use in a query.
std::string encodeQuery(const std::string &text);

} // namespace clementinebeam
