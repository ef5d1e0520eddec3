#pragma once

#include "clementinebeam/kernel/networkaddress.h"
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace clementinebeam {

/// Name and value of one header.
struct http_header {
    std::string name;
    std::string value;
};

/// Headers of one message, in order.
class http_headers
{
public:
    /// Appends a header; an existing one of the same name is kept.
    void add(std::string name, std::string value)
    {
        m_entries.push_back({std::move(name), std::move(value)});
    }

    /// @param name name of the header, case-insensitive.
    /// @return value of the first header of that name, or an empty string.
    std::string_view find(std::string_view name) const;

    const std::vector<http_header> &entries() const { return m_entries; }

private:
    std::vector<http_header> m_entries;
};

/// A request, as sent by a client or received by a server.
struct http_request {
    std::string method = "GET";
    std::string path = "/"; ///< Percent-decoded.
    std::string query;      ///< As received, without the question mark.
    http_headers headers;
    std::string body;
    std::string remoteAddress; ///< IP address of the client; set by the server.

    /// @param name name of a query parameter.
    /// @return its percent-decoded value; an empty string if it is missing or longer than 511
    /// bytes.
    std::string parameter(const std::string &name) const;
};

/// A response with its whole body.
struct http_response {
    int status = 200;
    http_headers headers;
    std::string body;
};

} // namespace clementinebeam
