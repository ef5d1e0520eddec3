#pragma once

#include "clementinebeam/kernel/bootclock.h"
#include "clementinebeam/kernel/networkaddress.h"

#include <cstddef>
#include <netdb.h>
#include <string_view>
#include <system_error>

namespace clementinebeam {

/// A TCP socket whose operations block until they are done or a deadline passes.
class deadline_socket
{
public:
    deadline_socket() = default;
    ~deadline_socket() { close(); }
    deadline_socket(const deadline_socket &) = delete;
    deadline_socket &operator=(const deadline_socket &) = delete;

    /// Opens a connection; closes an earlier one.
    /// @param address name or IP number, and port.
    /// @param deadline latest time to wait; looking up a name may take longer.
    /// @return why there is no connection; no error if there is one.
    std::error_code connect(const network_address &address, instant deadline);

    /// Writes all bytes.
    /// @param bytes what to write.
    /// @param deadline latest time to wait.
    /// @param written set to the number of bytes that were written.
    /// @return timed_out at the deadline, or the system's error.
    std::error_code write(std::string_view bytes, instant deadline, std::size_t &written);

    /// Reads what has arrived, at least one byte.
    /// @param buffer where to store the bytes.
    /// @param size size of the buffer.
    /// @param deadline latest time to wait.
    /// @param received set to the number of bytes; 0 at the orderly end of the stream.
    /// @return timed_out at the deadline, or the system's error.
    std::error_code read(char *buffer, std::size_t size, instant deadline, std::size_t &received);

    /// @return whether the connection is open, and nothing has arrived on it that was not read yet:
    /// no byte, no end and no error.
    bool isQuiet() const;

    bool isOpen() const { return m_descriptor >= 0; }

    void close();

private:
    std::error_code connectTo(const addrinfo &address, instant deadline);
    std::error_code await(short events, instant deadline) const;

    int m_descriptor = -1;
};

} // namespace clementinebeam
