#include "clementinebeam/asynchttp/serverconnection.h"

#include "clementinebeam/asynchttp/sockets.h"
#include "clementinebeam/kernel/scopeexit.h"
#include "clementinebeam/observability/logline.h"

#include <algorithm>
#include <boost/beast/http/write.hpp>

namespace clementinebeam {

namespace {

namespace http = boost::beast::http;

constexpr unsigned HTTP_BAD_REQUEST = 400;
constexpr unsigned HTTP_BODY_TOO_LARGE = 413;
constexpr unsigned HTTP_HEADER_TOO_LARGE = 431;
constexpr unsigned HTTP_UNAVAILABLE = 503;
/// Largest number of bytes buffered behind the current request; reading pauses at this number.
constexpr std::size_t MAX_PIPELINED_BYTES = 65536;
/// How long finish() keeps a connection open whose request may be in transit or is not read yet.
constexpr std::chrono::milliseconds LAST_REQUEST_TIMEOUT{400};
/// How long at least, and for how many bytes, a connection is read on after its last answer was
/// acknowledged. Its caller may still be sending, and bytes that meet a closed connection make the
/// caller's system discard what the caller has not read yet.
constexpr std::chrono::milliseconds DRAIN_TIME{1000};
constexpr std::size_t MAX_DRAINED_BYTES = 1UL << 20U;
/// Interval at which the delivery of the last answer is checked.
constexpr std::chrono::milliseconds DELIVERY_CHECK_INTERVAL{100};
/// An answer without progress for this time is one that its caller doesn't read.
constexpr std::chrono::milliseconds STALL_TIME{500};
/// Memory of one field of a head besides its text.
constexpr std::size_t FIELD_BYTES = 96;
/// A larger buffer is released when it becomes empty.
constexpr std::size_t MAX_IDLE_BUFFER = 16384;

unsigned statusOf(const boost::system::error_code &error)
{
    if (error == http::error::header_limit)
        return HTTP_HEADER_TOO_LARGE;
    if (error == http::error::body_limit)
        return HTTP_BODY_TOO_LARGE;
    return HTTP_BAD_REQUEST;
}

std::string_view reasonOf(const boost::system::error_code &error)
{
    if (error == http::error::header_limit)
        return "header_limit";
    if (error == http::error::body_limit)
        return "body_limit";
    return "malformed_request";
}

} // namespace

http_answer makeOwnAnswer(unsigned status, std::string body)
{
    http_answer answer;
    answer.version(11);
    answer.result(status);
    answer.body() = std::move(body);
    answer.prepare_payload();
    return answer;
}

http_answer i_request_handler::refuse(const http_call & /*head*/, unsigned status,
                                      std::string_view reason)
{
    return makeOwnAnswer(status, std::string(reason) + '\n');
}

server_connection::server_connection(boost::asio::ip::tcp::socket socket,
                                     i_request_handler &handler)
    : m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
    , m_handler(handler)
{
    join(handler.memory());
}

void server_connection::start()
{
    prepareSocket(m_socket);
    resetParser();
    armTimer(m_handler.limits().idleTimeout);
    startRead();
}

connection_summary server_connection::summary() const
{
    auto stage = connection_stage::Idle;
    if (m_isHandling)
        stage = connection_stage::Handling;
    else if (m_isWriting || (m_isDraining && m_undelivered > 0))
        stage = connection_stage::Sending;
    else if (!m_isDraining && isBusy())
        stage = connection_stage::Receiving;
    const bool isSending = stage == connection_stage::Sending;
    return {stage, isSending ? m_lastProgress : m_stageStart, m_receivedBytes};
}

void server_connection::resetParser()
{
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->header_limit(m_handler.limits().headerBytes);
    m_parser->body_limit(m_handler.limits().bodyBytes);
    m_hasSentContinue = false;
    m_headBytes = 0;
    m_receivedBytes = 0;
    m_stageStart = boot_clock::now();
}

void server_connection::armTimer(std::chrono::milliseconds limit)
{
    m_timer.expires_after(limit);
    m_timer.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (error || self->m_isHandling || self->m_isDraining || self->m_isClosed)
            return;
        if (!self->m_isWriting) {
            self->closeWhenRead();
            return;
        }
        self->m_handler.onClosedForLimit("answer_unread");
        self->closeFor("time_limit");
    });
}

void server_connection::startRead()
{
    const bool isPaused =
            (m_isIgnoringAhead && !m_isDraining) || m_drainedBytes > MAX_DRAINED_BYTES;
    if (m_isReading || m_isClosed || isPaused || m_buffer.size() >= MAX_PIPELINED_BYTES)
        return;
    m_isReading = true;
    m_socket.async_read_some(
            boost::asio::buffer(m_received),
            [self = shared_from_this()](boost::system::error_code error, std::size_t size) {
                self->m_isReading = false;
                if (self->m_isClosed)
                    return;
                if (error) {
                    self->closeFor(error.message());
                    return;
                }
                self->onBytes(size);
            });
}

void server_connection::onBytes(std::size_t size)
{
    const scope_exit readOn([this] { startRead(); });
    const bool isReceiving = !m_isHandling && !m_isWriting;
    if (m_isRefused || m_isIgnoringAhead || m_isDraining) {
        m_drainedBytes += size;
        if (m_drainedBytes > MAX_DRAINED_BYTES && m_isDraining && hasCallerRead())
            close();
        return;
    }
    if (!tryHold(neededBytes(size))) {
        if (isReceiving)
            refuseCall(HTTP_UNAVAILABLE, "memory");
        else
            ignoreSentAhead();
        return;
    }
    boost::asio::buffer_copy(m_buffer.prepare(size), boost::asio::buffer(m_received, size));
    m_buffer.commit(size);
    if (isReceiving)
        parse();
}

/// @return the memory for all that is held, with bytes that are to be added. Buffers that grow are
/// held twice while they are copied.
std::size_t server_connection::neededBytes(std::size_t arriving) const
{
    const auto buffered = m_buffer.size() + arriving;
    const auto capacity = m_buffer.capacity();
    const auto bytes = buffered > capacity ? capacity + 2 * buffered : capacity;
    if (m_isHandling || m_isWriting)
        return bytes + m_messageBytes;
    const auto &body = m_parser->get().body();
    const bool isGrowing = body.size() + buffered > body.capacity();
    return bytes + m_headBytes + buffered + (isGrowing ? 2 : 1) * body.size();
}

/// What is sent ahead is dropped unread, and the connection closes after the current answer.
void server_connection::ignoreSentAhead()
{
    m_handler.onClosedForLimit("sent_ahead");
    m_isLastRequest = true;
    m_isIgnoringAhead = true;
    m_buffer.clear();
    m_buffer.shrink_to_fit();
    hold(neededBytes(0));
}

void server_connection::parse()
{
    m_isUnused = false;
    if (!m_parser->got_some()) {
        m_stageStart = boot_clock::now();
        armTimer(m_handler.limits().headerTimeout);
    }
    while (m_buffer.size() > 0 && !m_parser->is_done()) {
        boost::system::error_code error;
        const auto consumed = m_parser->put(m_buffer.data(), error);
        m_buffer.consume(consumed);
        m_receivedBytes += consumed;
        if (error && error != http::error::need_more) {
            onParseError(error);
            return;
        }
        if (error || consumed == 0)
            break;
    }
    if (m_parser->is_header_done() && (m_headBytes == 0 || m_parser->is_done()))
        measureHead();
    if (!tryHold(neededBytes(0)) || (m_parser->is_done() && !mayHandle())) {
        refuseCall(HTTP_UNAVAILABLE, "memory");
        return;
    }
    if (m_parser->is_done())
        handleCall();
    else if (m_buffer.size() >= MAX_PIPELINED_BYTES)
        refuseCall(HTTP_HEADER_TOO_LARGE, "unparsed_bytes"); // For example, an endless trailer.
    else if (m_parser->content_length().value_or(0) > largestHold())
        refuseCall(HTTP_UNAVAILABLE, "memory");
    else
        sendContinue();
}

void server_connection::measureHead()
{
    m_headBytes = m_parser->get().target().size();
    for (const auto &field : m_parser->get())
        m_headBytes += field.name_string().size() + field.value().size() + FIELD_BYTES;
}

void server_connection::handleCall()
{
    m_timer.cancel();
    auto call = m_parser->release();
    // The head is copied for forwarding.
    m_messageBytes = 2 * m_headBytes + call.body().size();
    m_isHandling = true;
    m_isAwaitingRequest = false;
    hold(neededBytes(0));
    if (!call.keep_alive())
        m_isLastRequest = true;
    m_handler.handle(std::move(call), shared_from_this());
}

void server_connection::sendContinue()
{
    if (m_hasSentContinue || !m_parser->is_header_done()
        || m_parser->get()[http::field::expect] != "100-continue")
        return;
    m_hasSentContinue = true;
    static const std::string INTERIM = "HTTP/1.1 100 Continue\r\n\r\n";
    boost::asio::async_write(
            m_socket, boost::asio::buffer(INTERIM),
            [self = shared_from_this()](boost::system::error_code error, std::size_t) {
                if (error)
                    self->close();
            });
}

void server_connection::onParseError(const boost::system::error_code &error)
{
    log_line(log_level::Info, "malformed_request").add("error", error.message());
    refuseCall(statusOf(error), reasonOf(error));
}

/// Answers an incomplete request, which is not handled then.
void server_connection::refuseCall(unsigned status, std::string_view reason)
{
    auto answer = m_handler.refuse(m_parser->get(), status, reason);
    m_isRefused = true;
    m_isHandling = true;
    m_isLastRequest = true;
    m_isAwaitingRequest = false;
    releaseReceived();
    respond(std::move(answer));
}

void server_connection::releaseReceived()
{
    std::string().swap(m_parser->get().body());
    m_buffer.clear();
    m_buffer.shrink_to_fit();
}

void server_connection::giveUp()
{
    if (!m_isWriting && !m_isDraining && m_parser->got_some()) {
        refuseCall(HTTP_UNAVAILABLE, "memory");
        return;
    }
    m_handler.onClosedForLimit(m_isWriting ? "answer_unread" : "memory");
    if (m_isWriting)
        closeFor("memory");
    else
        closeWhenRead();
}

bool server_connection::mayGiveUp() const
{
    const bool isStalled = m_isWriting && boot_clock::now() - m_lastProgress > STALL_TIME;
    return !m_isHandling && (!m_isWriting || isStalled);
}

void server_connection::respond(http_answer answer, instant deliverBy)
{
    m_onDisconnect = nullptr;
    if (m_isClosed || !m_isHandling)
        return;
    m_isHandling = false;
    m_isWriting = true;
    m_answer = std::move(answer);
    if (m_isLastRequest)
        m_answer.keep_alive(false);
    m_lastProgress = boot_clock::now();
    m_deliverBy = deliverBy;
    m_messageBytes = m_answer.body().capacity();
    if (!hold(neededBytes(0)) && m_messageBytes > MAX_PIPELINED_BYTES) {
        m_handler.onClosedForLimit("answer_memory");
        m_isWriting = false;
        m_answer = {};
        closeWhenRead();
        return;
    }
    m_serializer.emplace(m_answer);
    continueWrite();
}

/// @return when an answer ends that its caller does not read.
instant server_connection::deliveryEnd() const
{
    return std::max(m_lastProgress + m_handler.limits().idleTimeout, m_deliverBy);
}

void server_connection::continueWrite()
{
    armTimer(std::chrono::ceil<std::chrono::milliseconds>(deliveryEnd() - m_lastProgress));
    http::async_write_some(
            m_socket, *m_serializer,
            [self = shared_from_this()](boost::system::error_code error, std::size_t) {
                if (self->m_isClosed)
                    return;
                self->m_lastProgress = boot_clock::now();
                if (error)
                    self->closeFor(error.message());
                else if (self->m_serializer->is_done())
                    self->onAnswerSent();
                else
                    self->continueWrite();
            });
}

void server_connection::onAnswerSent()
{
    const bool isCloseAnnounced = !m_answer.keep_alive();
    m_isWriting = false;
    m_messageBytes = 0;
    m_serializer.reset();
    m_answer = {};
    if (isCloseAnnounced || m_isIgnoringAhead) {
        startDraining();
        return;
    }
    resetParser();
    if (m_buffer.size() == 0 && m_buffer.capacity() > MAX_IDLE_BUFFER)
        m_buffer.shrink_to_fit();
    hold(neededBytes(0));
    armTimer(m_handler.limits().idleTimeout);
    const scope_exit readOn([this] { startRead(); });
    if (m_buffer.size() > 0)
        parse();
    // The head of the answer went out before finish() was called, without announcing the close.
    else if (m_isLastRequest)
        finish();
}

/// @return whether the caller has read all answers, as far as that is known: what it has
///     acknowledged may wait in its receive buffer for as long as it has time for the request.
bool server_connection::hasCallerRead()
{
    return undeliveredBytes(m_socket).value_or(0) == 0 && boot_clock::now() >= m_deliverBy;
}

/// Closes an idle connection. What the caller has not read yet of its last answer would be
/// discarded if it sent anything after the close.
void server_connection::closeWhenRead()
{
    if (hasCallerRead())
        close();
    else
        startDraining();
}

/// Ends the stream to the caller and drops what it still sends, until it closes the connection.
/// Answers callers that read slowly, or that send on, while the connection has to end.
void server_connection::startDraining()
{
    m_isDraining = true;
    m_isAwaitingRequest = false;
    m_stageStart = boot_clock::now();
    m_lastProgress = m_stageStart;
    releaseReceived();
    hold(0);
    boost::system::error_code ignored;
    m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    awaitDelivery();
    startRead();
}

void server_connection::awaitDelivery()
{
    const auto now = boot_clock::now();
    const auto undelivered = undeliveredBytes(m_socket).value_or(0);
    if (undelivered != m_undelivered)
        m_lastProgress = now;
    m_undelivered = undelivered;
    const auto end =
            undelivered > 0 ? deliveryEnd() : std::max(m_lastProgress + DRAIN_TIME, m_deliverBy);
    if (now >= end) {
        if (undelivered > 0)
            m_handler.onClosedForLimit("answer_unread");
        closeFor("time_limit");
        return;
    }
    m_timer.expires_after(DELIVERY_CHECK_INTERVAL);
    m_timer.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (!error && !self->m_isClosed)
            self->awaitDelivery();
    });
}

void server_connection::finish()
{
    m_isLastRequest = true;
    if (isBusy())
        return;
    boost::system::error_code error;
    if (!m_isUnused && m_socket.available(error) == 0) {
        closeWhenRead();
        return;
    }
    m_isAwaitingRequest = true;
    armTimer(LAST_REQUEST_TIMEOUT);
}

void server_connection::close()
{
    closeFor("closed");
}

/// @param cause why, for the log: answers that end early are lost for callers, who can't tell why.
void server_connection::closeFor(std::string_view cause)
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    const auto undelivered = undeliveredBytes(m_socket).value_or(0);
    if (m_isWriting || undelivered > 0)
        log_line(log_level::Info, "answer_cut")
                .add("cause", cause)
                .add("written", m_isWriting ? 0 : 1)
                .add("undelivered", undelivered);
    m_timer.cancel();
    closeQuietly(m_socket);
    releaseReceived();
    std::string().swap(m_answer.body());
    hold(0);
    const auto onDisconnect = std::move(m_onDisconnect);
    m_onDisconnect = nullptr;
    if (onDisconnect)
        onDisconnect();
}

} // namespace clementinebeam
