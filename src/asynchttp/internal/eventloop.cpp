#include "clementinebeam/asynchttp/eventloop.h"

#include "clementinebeam/observability/logline.h"

#include <exception>

namespace clementinebeam {

void runEventLoop(boost::asio::io_context &context)
{
    for (;;) {
        try {
            context.run();
            return;
        } catch (const std::exception &error) {
            log_line(log_level::Error, "handler_failed").add("error", error.what());
        }
    }
}

} // namespace clementinebeam
