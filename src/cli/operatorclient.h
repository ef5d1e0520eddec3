#pragma once

#include "clementinebeam/http/httptypes.h"
#include "clementinebeam/kernel/result.h"

#include <nlohmann/json.hpp>
#include <string>

namespace clementinebeam {

/// What an instance answered.
struct operator_answer {
    int status = 0;
    nlohmann::json document;
};

/// Calls an instance's operator interface.
class operator_client
{
public:
    operator_client(network_address address, std::string token);

    /// @return the answer, or PeerUnreachable or BadMessage.
    result<operator_answer> get(const std::string &path, const std::string &query = {}) const;
    result<operator_answer> post(const std::string &path, const std::string &query,
                                 const std::string &body) const;

private:
    result<operator_answer> exchange(http_request request) const;

    network_address m_address;
    std::string m_token;
};

/// @param text any text.
/// @return the text encoded for a query.
std::string encodeQuery(const std::string &text);

} // namespace clementinebeam
