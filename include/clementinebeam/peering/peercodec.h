#pragma once

#include "clementinebeam/kernel/result.h"
#include "clementinebeam/peering/peermessages.h"

#include <string>
#include <string_view>

namespace clementinebeam {

/// Version of the protocol between instances; the first two bytes of every message.
inline constexpr std::uint16_t PEER_PROTOCOL_VERSION = 1;

/// Largest encoded message, in bytes.
inline constexpr std::size_t MAX_PEER_MESSAGE_BYTES = 4 << 20;

/// Largest encoded message that is sent as a datagram, in bytes.
inline constexpr std::size_t MAX_DATAGRAM_BYTES = 60000;

/// @param envelope a message.
/// @param key key shared by all instances.
/// @return the version, the authentication code and the encoded message.
std::string encodePeerMessage(const peer_envelope &envelope, std::string_view key);

/// @param bytes the result of encodePeerMessage() on another instance.
/// @param key key shared by all instances.
/// @return the message, or TooLarge, MessageVersion, MessageUnauthenticated or BadMessage.
result<peer_envelope> decodePeerMessage(std::string_view bytes, std::string_view key);

/// @param bytes the encoded message without version and authentication code.
/// @return the message, or BadMessage.
result<peer_envelope> decodePeerBody(std::string_view bytes);

} // namespace clementinebeam
