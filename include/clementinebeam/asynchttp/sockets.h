#pragma once

#include "clementinebeam/asynchttp/httpmessages.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <system_error>

namespace clementinebeam {

/// Sets the options of all connections: TCP_NODELAY.
/// @param socket a connected socket.
void prepareSocket(boost::asio::ip::tcp::socket &socket);

/// Makes a connection end when its peer acknowledges no data for some time. The system does not
/// tell a peer that is gone from one that reads nothing: both acknowledge nothing that is left to
/// send. Only for connections on which the peer is sent less than it takes without reading.
/// @param socket a connected socket.
/// @param limit longest time for which data may stay unacknowledged or unsent; 0 for the system's
///     limit, which counts for peers that are gone only.
void limitUnacknowledged(boost::asio::ip::tcp::socket &socket, std::chrono::milliseconds limit);

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
