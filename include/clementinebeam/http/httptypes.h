#pragma once

#include "clementinebeam/kernel/networkaddress.h"
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace clementinebeam {

struct http_header {
    std::string name;
    std::string value;
};

/// Headers of one message in order of arrival.
class http_headers
{
public:
    void add(std::string name, std::string value)
    {
        m_entries.push_back({std::move(name), std::move(value)});
    }

    /// @param name a header's name; letter case is ignored.
    /// @return its first value, or an empty text.
    std::string_view find(std::string_view name) const;

    const std::vector<http_header> &entries() const { return m_entries; }

private:
    std::vector<http_header> m_entries;
};

struct http_request {
    std::string method = "GET";
    std::string path = "/"; ///< Percent-decoded.
    std::string query;      ///< As received, without the question mark.
    http_headers headers;
    std::string body;
    std::string remoteAddress;

    /// @param name a query parameter.
    /// @return its decoded value, or an empty text.
    std::string parameter(const std::string &name) const;
};

struct http_response {
    int status = 200;
    http_headers headers;
    std::string body;
};

} // namespace clementinebeam
