#include "clementinebeam/kernel/stopsignals.h"
#include "platformserver.h"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(address, "127.0.0.1", "IP address to listen on");
DEFINE_int32(port, 9000, "port to listen on");
DEFINE_int64(retention_ms, 3600000, "retention of log records in milliseconds");
DEFINE_int64(list_lag_ms, 500, "delay in milliseconds until the instance list shows a change");

int main(int argc, char **argv)
{
    using namespace clementinebeam;
    gflags::SetUsageMessage("platform stand-in for tests and demos: log streams and instance list");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    stop_signals stopSignals;
    platform_server server({FLAGS_address, static_cast<std::uint16_t>(FLAGS_port)},
                           std::chrono::milliseconds(FLAGS_retention_ms),
                           std::chrono::milliseconds(FLAGS_list_lag_ms));
    if (const auto error = server.start()) {
        std::cerr << "event=start_failed error=\"" << error.message() << "\"\n";
        return 1;
    }
    stopSignals.wait();
    server.stop();
    return 0;
}
