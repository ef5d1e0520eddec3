#pragma once

#include <boost/asio/io_context.hpp>

namespace clementinebeam {

/// Runs an event loop until it is stopped or out of work. An unexpected error ends the handler that
/// it comes from and is logged; the process and its other requests go on.
/// @param context the loop.
void runEventLoop(boost::asio::io_context &context);

} // namespace clementinebeam
