#pragma once

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

namespace clementinebeam {

/// One HTTP/1.1 client connection on an event loop; carries one exchange at a time.
///
/// A read is outstanding all the time, so that a close or stray bytes on an idle connection are
/// noticed before the connection is used again.
class client_connection : public std::enable_shared_from_this<client_connection>
{
public:
    /// Called once at the end of an exchange, with the answer if the failure is None.
    using completion = std::function<void(exchange_failure, http_answer &&)>;
    /// Decides whether an answer belongs to the present call; others are dropped.
    using answer_filter = std::function<bool(const http_answer &)>;
    using closed_handler = std::function<void()>;

    /// @param context the event loop.
    /// @param peer the address to connect to.
    /// @param connectTimeout how long connecting may take.
    client_connection(boost::asio::io_context &context, tcp_endpoint peer,
                      std::chrono::milliseconds connectTimeout);

    ~client_connection() { releaseCharge(); }

    /// Connects without sending anything.
    /// @param done called with whether the connection stands, unless close() comes first.
    void open(std::function<void(bool)> done);

    /// @return when the connection was made; zero before that.
    instant openedAt() const { return m_openedAt; }

    /// Sends a call and reads its answer; connects first if necessary.
    /// @param call the call; its payload has to be prepared.
    /// @param filter tells answers to earlier calls apart; may be empty.
    /// @param done called once, unless close() comes first.
    void exchange(http_call call, answer_filter filter, completion done);

    /// Closes the connection at once; the completion of a running exchange isn't called.
    void close();

    /// Has the operating system notice if the peer goes silent between or during exchanges.
    void enableProbes() { m_isProbed = true; }

    /// @param budget memory that this connection's answers share with others while they come in.
    void setBudget(std::shared_ptr<byte_budget> budget) { m_budget = std::move(budget); }

    /// @return whether another exchange may follow on this connection.
    bool isReusable() const { return m_state == state::Idle && !m_isTainted; }

    /// @return whether any byte of the present call was handed to the operating system.
    bool hasSent() const { return m_hasSent; }

    /// @param handler called when an idle connection ends.
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

    void onConnected(bool isOpen);
    void startWrite();
    void startRead();
    void onBytes(std::size_t size);
    bool charge(std::size_t size);
    bool reserveBody();
    void releaseCharge();
    bool parseOnce();
    void onEndOfStream(bool wasOrderly);
    void finishAnswer();
    void resetParser();
    void fail(exchange_failure failure);

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_connectTimer;
    tcp_endpoint m_peer;
    std::chrono::milliseconds m_connectTimeout;
    state m_state = state::Unconnected;
    bool m_isTainted = false; ///< Something unexpected happened; close after this exchange.
    bool m_isWriting = false;
    bool m_isProbed = false;
    bool m_hasSent = false;
    std::size_t m_droppedAnswers = 0;
    std::size_t m_interimAnswers = 0;
    std::shared_ptr<byte_budget> m_budget;
    std::size_t m_charged = 0; ///< Bytes of the present answer that the budget counts.
    std::size_t m_ahead = 0;   ///< Of these, announced bytes that have not come in yet.
    bool m_isBodyReserved = false;
    http_call m_call;
    answer_filter m_filter;
    completion m_done;
    std::function<void(bool)> m_onOpen;
    instant m_openedAt{};
    closed_handler m_onClosed;
    boost::beast::flat_buffer m_buffer;
    std::optional<response_parser> m_parser;
};

} // namespace clementinebeam
