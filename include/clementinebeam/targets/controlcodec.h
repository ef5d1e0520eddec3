#pragma once

#include "clementinebeam/kernel/result.h"
#include "clementinebeam/targets/controltypes.h"

#include <string>

namespace clementinebeam {

/// @return the JSON text of a control request.
std::string encodeControlRequest(const control_request &request);

/// @param text what encodeControlRequest() returned.
/// @return the request, or BadMessage.
result<control_request> decodeControlRequest(const std::string &text);

/// @return the JSON text of a control reply.
std::string encodeControlReply(const control_reply &reply);

/// @param text a control reply or health answer; fields that are absent keep their defaults.
/// @return the reply, or BadMessage.
result<control_reply> decodeControlReply(const std::string &text);

} // namespace clementinebeam
