#pragma once

#include "clementinebeam/configuration/daemonsettings.h"
#include "clementinebeam/http/httptypes.h"
#include "clementinebeam/kernel/bootclock.h"
#include "clementinebeam/kernel/result.h"

#include <string>

namespace clementinebeam {

/// A caller's request after its form was checked.
struct caller_request {
    service_name service;
    std::string key;
    std::string kind;
    std::string requestId; ///< Empty if the caller gave none.
    std::string member;
    std::string contentType;
    std::string body;
    bool isFirstAttempt = false; ///< The caller states that the id was never sent before.
    instant arrivedAt{};
    instant deadline{};

    /// @return hash of kind, key and body.
    std::uint64_t fingerprint() const;
};

/// Limits of the parts of a request.
inline constexpr std::size_t MAX_KEY_BYTES = 512;
inline constexpr std::size_t MAX_NAME_BYTES = 64;
inline constexpr std::size_t MAX_REQUEST_ID_BYTES = 128;

/// @param request an HTTP request to "/v1/services/<service>/<kind>/<key>".
/// @param settings default and longest deadline.
/// @param now when the request arrived.
/// @return the request, or BadRequest or TooLarge.
result<caller_request> parseCallerRequest(const http_request &request,
                                          const daemon_settings &settings, instant now);

} // namespace clementinebeam
