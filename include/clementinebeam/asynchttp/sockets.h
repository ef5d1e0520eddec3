#pragma once

#include "clementinebeam/asynchttp/httpmessages.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <system_error>

namespace clementinebeam {

/// Sets the options of all connections: TCP_NODELAY, and TCP_USER_TIMEOUT to end a connection whose
/// peer no longer acknowledges data.
/// @param socket a connected socket.
void prepareSocket(boost::asio::ip::tcp::socket &socket);

/// Opens an acceptor, binds it to an address and listens.
/// @param acceptor an acceptor that is not open.
/// @param address where to listen.
/// @return an error if the address can't be used.
std::error_code openAcceptor(boost::asio::ip::tcp::acceptor &acceptor, const tcp_endpoint &address);

/// Turns on TCP keep-alive probes, so that an idle connection ends within seconds after its peer
/// went silent.
/// @param socket a connected socket.
void enableKeepAlive(boost::asio::ip::tcp::socket &socket);

/// Makes a connection end with a reset, however it ends, so that bytes that have not reached the
/// peer by then are lost.
/// @param socket a connected socket.
/// @param limit longest time for which sent bytes may stay unacknowledged; then the connection
///     ends.
void dropUndelivered(boost::asio::ip::tcp::socket &socket, std::chrono::milliseconds limit);

/// @param socket a connected socket.
/// @return the number of bytes that were written to the socket and that the peer has not
///     acknowledged yet; an unacknowledged end of the stream counts as one. Nothing if the system
///     does not tell.
std::optional<std::size_t> undeliveredBytes(boost::asio::ip::tcp::socket &socket);

/// Closes a socket; errors are ignored, as the caller could not handle them.
/// @param socket any socket, open or not.
void closeQuietly(boost::asio::ip::tcp::socket &socket);

} // namespace clementinebeam
