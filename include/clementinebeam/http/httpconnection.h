#pragma once

#include "clementinebeam/http/httptypes.h"
#include "clementinebeam/kernel/bootclock.h"
#include "clementinebeam/kernel/result.h"

#include <memory>

namespace clementinebeam {

class deadline_socket;

/// A client connection that handles one exchange at a time. Not thread-safe.
class http_connection
{
public:
    http_connection();
    ~http_connection();
    http_connection(const http_connection &) = delete;
    http_connection &operator=(const http_connection &) = delete;

    /// Opens the connection. May block for 10 s if the address does not answer.
    /// @param address address of the server.
    /// @return TargetUnreachable if it cannot be opened.
    std::error_code open(const network_address &address);

    /// Sends a request and reads the whole response. The connection is closed after any error.
    /// @param request the request.
    /// @param deadline latest time to wait for the whole response.
    /// @return the response; TargetUnreachable if no byte was sent, else ConnectionLost,
    ///         AnswerIncomplete, or DeadlineExceeded.
    result<http_response> exchange(const http_request &request, instant deadline);

    /// Closes the connection if it is open.
    void close();

    /// @return whether the connection is open as far as the last exchange showed.
    bool isOpen() const;

    /// @return whether another exchange may follow. Bytes that have arrived since the last one
    /// would be taken for the next response.
    bool isReusable() const;

    /// @return why the response of the last exchange was refused; no error if it was not broken.
    const std::error_code &brokenAnswer() const { return m_brokenAnswer; }

private:
    std::unique_ptr<deadline_socket> m_socket;
    network_address m_address;
    std::error_code m_brokenAnswer;
};

} // namespace clementinebeam
