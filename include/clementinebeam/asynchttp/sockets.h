#pragma once

#include "clementinebeam/asynchttp/httpmessages.h"

namespace clementinebeam {

/// Sets the options that all connections share: no delay, and an end of silent connections.
/// @param socket a connected socket.
void prepareSocket(boost::asio::ip::tcp::socket &socket);

/// Lets the operating system probe an idle connection, so that one that went silent ends within
/// seconds.
void probeWhileIdle(boost::asio::ip::tcp::socket &socket);

/// Closes a socket; an error while closing changes nothing for the caller and is dropped.
void closeQuietly(boost::asio::ip::tcp::socket &socket);

} // namespace clementinebeam
