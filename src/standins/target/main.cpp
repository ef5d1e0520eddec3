#include "clementinebeam/kernel/stopsignals.h"
#include "targetserver.h"

#include <gflags/gflags.h>
#include <iostream>
#include <random>

DEFINE_string(id, "target", "the target's id");
DEFINE_string(address, "127.0.0.1", "IP address to listen on");
DEFINE_int32(port, 9100, "port to listen on");
DEFINE_bool(checks_grants, true, "refuse requests without a valid grant");
DEFINE_int32(slots, 2, "requests that run at a time");
DEFINE_int32(max_queue, 32, "requests that wait");
DEFINE_int32(threads, 64, "connections at a time");
DEFINE_int64(service_us, 2000, "mean service time in microseconds");
DEFINE_string(crash_marker, "", "a request whose body contains this text ends the process");
DEFINE_string(history, "", "file for the history of grants and executions");

int main(int argc, char **argv)
{
    using namespace clementinebeam;
    gflags::SetUsageMessage("stand-in for a target that owns keys");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    stop_signals stopSignals;
    target_behaviour behaviour;
    behaviour.id = FLAGS_id;
    behaviour.address = {FLAGS_address, static_cast<std::uint16_t>(FLAGS_port)};
    behaviour.checksGrants = FLAGS_checks_grants;
    behaviour.workerSlots = static_cast<std::size_t>(FLAGS_slots);
    behaviour.maxQueue = static_cast<std::size_t>(FLAGS_max_queue);
    behaviour.threads = static_cast<std::size_t>(FLAGS_threads);
    behaviour.serviceTime = std::chrono::microseconds(FLAGS_service_us);
    behaviour.crashMarker = FLAGS_crash_marker;
    behaviour.historyFile = FLAGS_history;
    std::random_device device;
    target_server server(behaviour, (std::uint64_t{device()} << 32) + device());
    if (const auto error = server.start()) {
        std::cerr << "event=start_failed error=\"" << error.message() << "\"\n";
        return 1;
    }
    stopSignals.wait();
    server.stop();
    return 0;
}
