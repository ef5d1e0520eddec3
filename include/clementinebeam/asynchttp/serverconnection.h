#pragma once

#include "clementinebeam/admission/connectionpolicy.h"
#include "clementinebeam/admission/memoryaccount.h"
#include "clementinebeam/asynchttp/httpmessages.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace clementinebeam {

/// Limits on the size and the duration of requests.
struct server_limits {
    std::uint32_t headerBytes = 16384;     ///< Largest header of a request.
    std::uint64_t bodyBytes = 64ULL << 20; ///< Largest body of a request.
    /// From the first byte of a request to its last, body included.
    std::chrono::milliseconds headerTimeout{3000};
    /// Time without a request before the connection closes.
    std::chrono::milliseconds idleTimeout{15000};
};

class server_connection;

/// Handles the requests that server connections receive.
class i_request_handler
{
public:
    virtual ~i_request_handler() = default;

    /// Handles a complete request. The handler has to call respond() on the connection, now or
    /// later, unless the connection closes before.
    /// @param call the request.
    /// @param connection the connection that received the request and sends the answer.
    virtual void handle(http_call &&call, const std::shared_ptr<server_connection> &connection) = 0;

    /// @return the limits for requests; they are read again for each request.
    virtual const server_limits &limits() const = 0;

    /// @return the account for what connections hold; null if there is none.
    virtual std::shared_ptr<memory_account> memory() { return {}; }

    /// Makes the answer to a request that is refused before it was handled; it never is.
    /// @param head the request's head, as far as it is known.
    /// @param status the status code.
    /// @param reason why, a short name.
    virtual http_answer refuse(const http_call &head, unsigned status, std::string_view reason);

    /// Notes that a connection was closed for a limit, without an answer.
    /// @param reason why, a short name.
    virtual void onClosedForLimit(std::string_view /*reason*/) { }
};

/// The server side of one HTTP/1.1 connection.
///
/// Continues to read while a request is being handled, so that a close by the peer is noticed at
/// once.
class server_connection : public memory_claim,
                          public std::enable_shared_from_this<server_connection>
{
public:
    using disconnect_handler = std::function<void()>;

    server_connection(boost::asio::ip::tcp::socket socket, i_request_handler &handler);

    /// Starts to read requests. Called once.
    void start();

    /// Sends the answer to the current request; does nothing if there is none or the connection is
    /// closed.
    /// @param answer the answer, after prepare_payload().
    /// @param deliverBy until when the caller may take the answer: one that reads nothing keeps its
    ///     connection until then, and at least for the idle timeout.
    void respond(http_answer answer, instant deliverBy = {});

    /// @param handler called if the connection closes before the answer; cleared by respond().
    void setDisconnectHandler(disconnect_handler handler) { m_onDisconnect = std::move(handler); }

    /// Closes the connection after the current request, or at once if there is none. Received bytes
    /// that were not read yet count as a request. A connection without any request so far stays
    /// open for a short time, because its first request may be in transit. In all cases, the
    /// caller can read the answers that were given first.
    void finish();

    /// Closes the connection at once and calls the handler of setDisconnectHandler(), if there is
    /// one.
    void close();

    /// @return whether a request is being read, handled or answered, or finish() waits for one, or
    ///     the caller may not have read the last answer yet.
    bool isBusy() const
    {
        const bool hasPartialRequest = m_buffer.size() > 0 || (m_parser && m_parser->got_some());
        return m_isHandling || m_isWriting || m_isAwaitingRequest || m_isDraining
                || hasPartialRequest;
    }

    bool isClosed() const { return m_isClosed; }

    /// @return what the policy for connections needs to know.
    connection_summary summary() const;

protected:
    void giveUp() override;
    bool mayGiveUp() const override;
    bool isHandling() const override { return m_isHandling; }

private:
    static constexpr std::size_t READ_SIZE = 4096; ///< Bytes that one read may return.

    using request_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void startRead();
    void onBytes(std::size_t size);
    void measureHead();
    void handleCall();
    void releaseReceived();
    void refuseCall(unsigned status, std::string_view reason);
    void continueWrite();
    void onAnswerSent();
    instant deliveryEnd() const;
    bool hasCallerRead();
    void closeWhenRead();
    void startDraining();
    void awaitDelivery();
    std::size_t neededBytes(std::size_t arriving) const;
    void ignoreSentAhead();
    void parse();
    void onParseError(const boost::system::error_code &error);
    void sendContinue();
    void resetParser();
    void armTimer(std::chrono::milliseconds limit);
    void closeFor(std::string_view cause);

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    i_request_handler &m_handler;
    /// Destination of the read in progress. Parsing consumes m_buffer during a read and may move
    /// its bytes, so a read must not write into it directly.
    std::array<char, READ_SIZE> m_received{};
    boost::beast::flat_buffer m_buffer; ///< Received bytes that are not parsed yet.
    std::optional<request_parser> m_parser;
    http_answer m_answer;
    disconnect_handler m_onDisconnect;
    std::optional<boost::beast::http::response_serializer<boost::beast::http::string_body>>
            m_serializer;
    instant m_stageStart{};          ///< When the connection became idle or began to receive.
    instant m_lastProgress{};        ///< When bytes of the last answer were last sent.
    instant m_deliverBy{};           ///< Until when the caller may take the last answer.
    std::size_t m_messageBytes = 0;  ///< Memory of the request being handled, or of its answer.
    std::size_t m_headBytes = 0;     ///< Memory of the current request's fields.
    std::size_t m_receivedBytes = 0; ///< Of the current request.
    std::size_t m_drainedBytes = 0;  ///< Dropped behind the last answer.
    std::size_t m_undelivered = 0;   ///< Bytes without acknowledgement when last checked.
    bool m_isReading = false;
    bool m_isHandling = false;
    bool m_isWriting = false;
    bool m_isLastRequest = false;
    bool m_isClosed = false;
    bool m_hasSentContinue = false;
    bool m_isRefused = false;         ///< The request was refused before it was complete.
    bool m_isDraining = false;        ///< Bytes behind the last answer are dropped, then it closes.
    bool m_isIgnoringAhead = false;   ///< What is sent ahead is not read any more.
    bool m_isUnused = true;           ///< No byte has been received.
    bool m_isAwaitingRequest = false; ///< finish() keeps the connection open for one more request.
};

/// @param status the status code.
/// @param body the text of the body.
/// @return an answer that this process gives on its own behalf, ready to be sent.
http_answer makeOwnAnswer(unsigned status, std::string body = {});

} // namespace clementinebeam
