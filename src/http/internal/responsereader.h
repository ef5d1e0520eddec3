#pragma once

#include "clementinebeam/http/httptypes.h"
#include "internal/deadlinesocket.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>

namespace clementinebeam {

/// Reads the response to one request, and accepts it only if it is one whole answer of HTTP/1.1.
class response_reader
{
public:
    /// @param socket the connection, on which the request was written.
    /// @param isHead whether the response has no body as the method of the request is HEAD.
    response_reader(deadline_socket &socket, bool isHead)
        : m_socket(socket)
        , m_isHead(isHead)
    { }

    /// Reads until the response is complete; skips interim ones.
    /// @param deadline latest time to wait.
    /// @return no error if it is complete; timed_out at the deadline; if hasStarted(), why it is
    /// broken; else why the connection failed.
    std::error_code read(instant deadline);

    /// @return whether any byte was received.
    bool hasStarted() const { return m_hasStarted; }

    /// @return whether another request may follow on the connection, after a complete response.
    bool mayContinue() const { return m_parser->keep_alive() && m_buffer.size() == 0; }

    /// @return the complete response; called once.
    http_response takeResponse();

private:
    using response_parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    std::error_code readMessage(instant deadline);
    std::error_code receive(instant deadline);
    std::error_code checkHead() const;

    deadline_socket &m_socket;
    const bool m_isHead;
    bool m_hasStarted = false;
    boost::beast::flat_buffer m_buffer;
    std::optional<response_parser> m_parser;
};

} // namespace clementinebeam
