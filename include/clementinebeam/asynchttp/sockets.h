#pragma once

#include "clementinebeam/asynchttp/httpmessages.h"

#include <system_error>

namespace clementinebeam {

/// Sets the options that all connections share: no delay, and an end of silent connections.
/// @param socket a connected socket.
void prepareSocket(boost::asio::ip::tcp::socket &socket);

/// Has an acceptor listen.
/// @param acceptor an acceptor that is not open.
/// @param address where to listen.
/// @return an error if the address can't be used.
std::error_code openAcceptor(boost::asio::ip::tcp::acceptor &acceptor, const tcp_endpoint &address);

/// Lets the operating system probe an idle connection, so that one that went silent ends within
/// seconds.
void probeWhileIdle(boost::asio::ip::tcp::socket &socket);

/// Closes a socket; an error while closing changes nothing for the caller and is dropped.
void closeQuietly(boost::asio::ip::tcp::socket &socket);

} // namespace clementinebeam
