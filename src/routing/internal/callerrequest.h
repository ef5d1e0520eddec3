#pragma once

#include "clementinebeam/configuration/daemonsettings.h"
#include "clementinebeam/http/httptypes.h"
#include "clementinebeam/kernel/bootclock.h"
#include "clementinebeam/kernel/result.h"

#include <string>

namespace clementinebeam {

/// A caller's request after validation.
struct caller_request {
    service_name service;
    std::string key;
    std::string kind;
    std::string requestId; ///< Empty if the caller sent none.
    std::string member;
    std::string contentType;
    std::string body;
    bool isFirstAttempt = false; ///< The caller states that it never sent this id before.
    instant arrivedAt{};
    instant deadline{};

    /// @return hash of kind, key and body, the same for all copies of a request.
    std::uint64_t fingerprint() const;
};

/// Longest fields of a request, in bytes. The content type may have twice MAX_NAME_BYTES.
inline constexpr std::size_t MAX_KEY_BYTES = 512;
inline constexpr std::size_t MAX_NAME_BYTES = 64;
inline constexpr std::size_t MAX_REQUEST_ID_BYTES = 128;

/// Parses and validates a request.
/// @param request an HTTP request to "/v1/services/<service>/<kind>/<key>".
/// @param settings contains the default and the longest deadline.
/// @param now when the request arrived.
/// @return the request, or BadRequest or TooLarge.
result<caller_request> parseCallerRequest(const http_request &request,
                                          const daemon_settings &settings, instant now);

} // namespace clementinebeam
