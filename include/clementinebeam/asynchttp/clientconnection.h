#pragma once

#include "clementinebeam/answers/answererror.h"
#include "clementinebeam/asynchttp/bytebudget.h"
#include "clementinebeam/asynchttp/httpmessages.h"
#include "clementinebeam/kernel/bootclock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace clementinebeam {

/// One HTTP/1.1 client connection on an event loop; carries one exchange at a time.
///
/// A read is pending all the time, so that a close or unexpected bytes on an idle connection are
/// noticed before the connection is used again.
class client_connection : public std::enable_shared_from_this<client_connection>
{
public:
    /// Called once at the end of an exchange, with the answer if the failure is None.
    using completion = std::function<void(exchange_failure, http_answer &&)>;
    /// Decides whether an answer belongs to the current call; others are dropped.
    using answer_filter = std::function<bool(const http_answer &)>;
    using closed_handler = std::function<void()>;

    /// @param context the event loop.
    /// @param peer the address to connect to.
    /// @param connectTimeout time limit for connecting.
    client_connection(boost::asio::io_context &context, tcp_endpoint peer,
                      std::chrono::milliseconds connectTimeout);

    ~client_connection() { releaseReserved(); }

    using open_handler = std::function<void(const boost::system::error_code &)>;

    /// Connects without sending anything.
    /// @param done called with the error, if there is one, unless close() is called first.
    void open(open_handler done);

    /// @return when the connection was established; zero before that.
    instant openedAt() const { return m_openedAt; }

    /// Sends a call and reads its answer; connects first if necessary.
    /// @param call the call, after prepare_payload().
    /// @param filter rejects answers to earlier calls; empty to accept any answer.
    /// @param done called once, unless close() is called first.
    void exchange(http_call call, answer_filter filter, completion done);

    /// @return the body of the last call, which the connection no longer needs once the exchange
    /// has ended.
    std::string takeCallBody() { return std::exchange(m_call.body(), {}); }

    /// Closes the connection at once, without calling the completion of a running exchange.
    void close();

    /// Turns on TCP keep-alive probes, so that a peer that goes silent between or during exchanges
    /// is noticed. Takes effect if called before the connection is opened.
    void enableKeepAliveProbes() { m_usesKeepAliveProbes = true; }

    /// Makes the connection end with a reset in all cases: in close(), at the end of this process,
    /// and as soon as sent bytes stay unacknowledged for too long. Bytes that have not reached the
    /// peer by then are lost; otherwise, the kernel goes on sending them for seconds. Takes effect
    /// if called before the connection is opened.
    /// @param limit longest time for which sent bytes may stay unacknowledged.
    void dropUndeliveredAfter(std::chrono::milliseconds limit) { m_undeliveredLimit = limit; }

    /// @param budget limits the memory for answers while they are received; shared with other
    /// connections.
    void setBudget(std::shared_ptr<byte_budget> budget) { m_budget = std::move(budget); }

    /// @param handler called when the answer to a call is refused because it is broken; the
    /// exchange then ends with MalformedAnswer.
    void setBrokenAnswerHandler(broken_answer_handler handler)
    {
        m_onBrokenAnswer = std::move(handler);
    }

    /// @return whether the connection is idle and another exchange may follow on it. Bytes that
    /// have arrived already would be taken for the next answer.
    bool isReusable() const
    {
        return m_state == state::Idle && !m_isCloseRequired && !hasUnreadBytes();
    }

    /// @return whether writing the current call has begun, so that bytes of it may have been sent.
    bool hasSent() const { return m_hasSent; }

    /// @param handler called when the connection ends while it is idle, but not by close().
    void setClosedHandler(closed_handler handler) { m_onClosed = std::move(handler); }

private:
    enum class state {
        Unconnected,
        Connecting,
        Busy,
        Idle,
        Closed,
    };

    using response_parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    bool hasUnreadBytes() const;
    void onConnected(const boost::system::error_code &error);
    void startWrite();
    void updateUnacknowledgedLimit();
    void startRead();
    void onBytes(std::size_t size);
    bool reserve(std::size_t size);
    bool reserveBody();
    void releaseReserved();
    bool parseOnce();
    bool acceptHead();
    void onEndOfStream(bool wasOrderly);
    void finishAnswer();
    void resetParser();
    void fail(exchange_failure failure);
    void refuseAnswer(const std::error_code &reason);

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_connectTimer;
    tcp_endpoint m_peer;
    std::chrono::milliseconds m_connectTimeout;
    state m_state = state::Unconnected;
    bool m_isCloseRequired = false; ///< Not usable for another exchange; close after this one.
    bool m_isWriting = false;
    bool m_usesKeepAliveProbes = false;
    std::optional<std::chrono::milliseconds> m_undeliveredLimit;
    bool m_isUnacknowledgedLimited = false; ///< As set on the socket.
    bool m_hasSent = false;
    bool m_hasFailed = false; ///< A write met a failure of the connection, such as a reset.
    std::size_t m_droppedAnswers = 0;
    std::size_t m_interimAnswers = 0;
    std::shared_ptr<byte_budget> m_budget;
    std::size_t m_reserved = 0;      ///< Bytes reserved in the budget for the current answer.
    std::size_t m_reservedAhead = 0; ///< Part of these, announced but not received yet.
    bool m_isBodyReserved = false;
    http_call m_call;
    answer_filter m_filter;
    completion m_done;
    open_handler m_onOpen;
    instant m_openedAt{};
    closed_handler m_onClosed;
    broken_answer_handler m_onBrokenAnswer;
    boost::beast::flat_buffer m_buffer;
    std::optional<response_parser> m_parser;
};

} // namespace clementinebeam
