#pragma once

#include <boost/asio/io_context.hpp>

namespace clementinebeam {

/// Runs an event loop until it is stopped or out of work. An exception from a handler is logged and
/// ends only that handler; the loop and all other requests continue.
/// @param context the loop.
void runEventLoop(boost::asio::io_context &context);

} // namespace clementinebeam
