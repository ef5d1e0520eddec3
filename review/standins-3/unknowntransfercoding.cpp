#include "cases.h"

#include <array>
#include <sstream>

namespace review {

namespace {

const std::string SERVICE = "ordini";
constexpr milliseconds DEADLINE{1500};

std::string headOf(const std::string &method, const std::string &path, const std::string &id)
{
    return method + ' ' + path + " HTTP/1.1\r\nHost: shop.example\r\nX-Clementinebeam-Request-Id: "
            + id + "\r\nX-Clementinebeam-Deadline-Ms: " + std::to_string(DEADLINE.count()) + "\r\n";
}

/// Sends bytes on a new connection, ends the direction to the machine after a while, and reads what
/// comes back.
std::string sendBytes(const std::string &host, const std::string &bytes)
{
    asio::io_context context;
    beast::tcp_stream stream(context);
    std::string received;
    boost::system::error_code error;
    stream.socket().connect({asio::ip::make_address(host), gateway::FRONT}, error);
    if (error)
        return {};
    asio::write(stream.socket(), asio::buffer(bytes), error);
    const auto end = steady::now() + milliseconds(800);
    stream.socket().non_blocking(true);
    std::array<char, 4096> buffer{};
    while (steady::now() < end) {
        const auto size = stream.socket().read_some(asio::buffer(buffer), error);
        if (error == asio::error::would_block) {
            pauseFor(milliseconds(10));
            continue;
        }
        if (error)
            break;
        received.append(buffer.data(), size);
    }
    return received;
}

} // namespace

/// A client sends an order whose body is the text of another request. It names a transfer coding
/// that the system does not know.
int unknownTransferCoding(deployment &system, bool hasTrouble)
{
    system.shared.put(
            "keyed.op", "config",
            configuration(3, {{"r-write", "/write/", "unsafe", SERVICE}}, {{SERVICE, false}}));
    std::mutex mutex;
    std::map<std::string, std::string> sentBodies;
    int smuggled = 0;
    int changed = 0;
    int whole = 0;
    for (int number = 0; number < 2; ++number) {
        auto &item = system.addWorker(SERVICE, false, "palermo", milliseconds(20));
        item.onRun = [&](worker &by, const request &call) {
            const std::string id(call["X-Clementinebeam-Request-Id"]);
            const std::lock_guard lock(mutex);
            const auto found = sentBodies.find(id);
            if (found == sentBodies.end()) {
                ++smuggled;
                record.line("BROKEN UNASKED: %s runs %s, which no client sent: it was in the body "
                            "of another request",
                            by.id().c_str(), id.c_str());
            } else if (found->second != call.body()) {
                ++changed;
                record.line("BROKEN UNASKED: %s runs %s with a body of %zu bytes instead of %zu",
                            by.id().c_str(), id.c_str(), call.body().size(), found->second.size());
            } else {
                ++whole;
            }
        };
        item.start();
        item.beat();
    }
    system.workers.begin();
    auto &machine = system.addMachine("palermo");
    machine.start();
    if (!machine.awaitReady(milliseconds(8000)))
        return NOT_RUN;
    pauseFor(milliseconds(2000));
    int number = 0;
    for (const std::string coding : {"gzip", "identity", "chunked, identity", "x-chunked"}) {
        const auto id = "outer-" + std::to_string(++number);
        const auto inner =
                headOf("POST", "/write/inner", "inner-" + std::to_string(number)) + "\r\n";
        {
            const std::lock_guard lock(mutex);
            sentBodies[id] = inner;
        }
        std::ostringstream size;
        size << std::hex << inner.size();
        const auto head = headOf("POST", "/write/outer", id)
                + "Transfer-Encoding: " + (hasTrouble ? coding : "chunked") + "\r\n\r\n";
        const auto body = hasTrouble ? inner : size.str() + "\r\n" + inner + "\r\n0\r\n\r\n";
        record.line("sent %s with Transfer-Encoding: %s", id.c_str(),
                    hasTrouble ? coding.c_str() : "chunked");
        const auto answer = sendBytes(machine.host(), head + body);
        for (std::size_t at = answer.find("HTTP/1.1 "); at != std::string::npos;
             at = answer.find("HTTP/1.1 ", at + 1))
            record.line("answered on the connection of %s: %s", id.c_str(),
                        answer.substr(at + 9, 3).c_str());
    }
    record.line("smuggled %d, body changed %d, whole %d", smuggled, changed, whole);
    if (!hasTrouble && whole == 0)
        return NOT_RUN;
    return smuggled + changed > 0 ? BROKEN : HELD;
}

} // namespace review
