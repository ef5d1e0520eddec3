#include "clementinebeam/asynchttp/clientconnection.h"

#include "clementinebeam/answers/answerhead.h"
#include "clementinebeam/asynchttp/sockets.h"
#include "clementinebeam/observability/logline.h"

#include <boost/beast/http/write.hpp>

#include <algorithm>

namespace clementinebeam {

namespace {

constexpr std::size_t READ_SIZE = 8192;
/// Largest body of an answer, in bytes; equals the platform's limit for bodies.
constexpr std::uint64_t MAX_ANSWER_BYTES = 64ULL << 20;
/// Number of answers to earlier calls that one exchange skips before it fails.
constexpr std::size_t MAX_DROPPED_ANSWERS = 3;
/// Largest number of interim answers (1xx) to one call; targets normally send one or two at most.
constexpr std::size_t MAX_INTERIM_ANSWERS = 16;
/// Largest number of received bytes that the parser cannot consume yet, for example in an endless
/// chunk extension or trailer.
constexpr std::size_t MAX_UNPARSED_BYTES = 65536;
/// A connection ends when its peer acknowledges nothing for this time.
constexpr std::chrono::milliseconds UNACKNOWLEDGED_LIMIT{4000};
/// Body of a call up to which that holds: any peer takes so much without reading. A peer that reads
/// a larger one slowly is not gone; whoever made the call limits its duration.
constexpr std::size_t MAX_LIMITED_BODY = 16384;

} // namespace

client_connection::client_connection(boost::asio::io_context &context, tcp_endpoint peer,
                                     std::chrono::milliseconds connectTimeout)
    : m_socket(context)
    , m_connectTimer(context)
    , m_peer(std::move(peer))
    , m_connectTimeout(connectTimeout)
{ }

void client_connection::exchange(http_call call, answer_filter filter, completion done)
{
    m_call = std::move(call);
    m_filter = std::move(filter);
    m_done = std::move(done);
    m_hasSent = false;
    m_hasFailed = false;
    m_droppedAnswers = 0;
    m_interimAnswers = 0;
    resetParser();
    if (m_state == state::Unconnected) {
        open([this](const boost::system::error_code &error) {
            if (error) {
                fail(exchange_failure::NotSent);
                return;
            }
            m_state = state::Busy;
            startWrite();
        });
        return;
    }
    m_state = state::Busy;
    startWrite();
}

void client_connection::open(open_handler done)
{
    m_onOpen = std::move(done);
    m_state = state::Connecting;
    m_connectTimer.expires_after(m_connectTimeout);
    m_connectTimer.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (!error && self->m_state == state::Connecting)
            self->onConnected(boost::asio::error::timed_out);
    });
    m_socket.async_connect(m_peer, [self = shared_from_this()](boost::system::error_code error) {
        if (self->m_state != state::Connecting)
            return;
        self->m_connectTimer.cancel();
        self->onConnected(error);
    });
}

void client_connection::onConnected(const boost::system::error_code &error)
{
    const auto done = std::move(m_onOpen);
    m_onOpen = nullptr;
    if (error) {
        // Called before close(), which would drop the completion of a waiting exchange.
        done(error);
        close();
        return;
    }
    prepareSocket(m_socket);
    if (m_usesKeepAliveProbes)
        enableKeepAlive(m_socket);
    if (m_undeliveredLimit)
        dropUndelivered(m_socket, *m_undeliveredLimit);
    m_openedAt = boot_clock::now();
    m_state = state::Idle;
    startRead();
    done({});
}

bool client_connection::hasUnreadBytes() const
{
    boost::system::error_code error;
    return m_socket.available(error) > 0;
}

void client_connection::startWrite()
{
    m_isWriting = true;
    m_hasSent = true;
    updateUnacknowledgedLimit();
    boost::beast::http::async_write(
            m_socket, m_call,
            [self = shared_from_this()](boost::system::error_code error, std::size_t) {
                self->m_isWriting = false;
                // The pending read reports a lost connection; it may still receive a complete
                // answer.
                if (error)
                    self->m_isCloseRequired = true;
                // After a broken pipe, the peer had ended its direction in order before.
                if (error && error != boost::asio::error::broken_pipe)
                    self->m_hasFailed = true;
            });
}

void client_connection::updateUnacknowledgedLimit()
{
    const bool isLimited = m_call.body().size() <= MAX_LIMITED_BODY;
    if (m_undeliveredLimit || isLimited == m_isUnacknowledgedLimited)
        return;
    m_isUnacknowledgedLimited = isLimited;
    limitUnacknowledged(m_socket, isLimited ? UNACKNOWLEDGED_LIMIT : std::chrono::milliseconds(0));
}

void client_connection::startRead()
{
    m_socket.async_read_some(
            m_buffer.prepare(READ_SIZE),
            [self = shared_from_this()](boost::system::error_code error, std::size_t size) {
                if (self->m_state == state::Closed)
                    return;
                if (error) {
                    self->onEndOfStream(error == boost::asio::error::eof);
                    return;
                }
                self->m_buffer.commit(size);
                self->onBytes(size);
            });
}

/// Reserves memory for received bytes; those that were announced have been reserved already.
/// @return whether the budget allows that.
bool client_connection::reserve(std::size_t size)
{
    const auto announced = std::min(size, m_reservedAhead);
    m_reservedAhead -= announced;
    const auto more = size - announced;
    if (m_budget && more > 0 && !m_budget->tryReserve(more, m_reserved))
        return false;
    m_reserved += more;
    return true;
}

/// Reserves memory for the whole body, which the parser allocates as soon as it knows the length.
/// @return whether the budget allows that.
bool client_connection::reserveBody()
{
    m_isBodyReserved = true;
    const auto length = m_parser->content_length().value_or(0);
    const std::size_t received = std::min<std::uint64_t>(length, m_buffer.size());
    if (length > MAX_ANSWER_BYTES || !reserve(length - received))
        return false;
    m_reservedAhead = length - received;
    return true;
}

void client_connection::releaseReserved()
{
    if (m_budget)
        m_budget->releaseBytes(m_reserved);
    m_reserved = 0;
    m_reservedAhead = 0;
}

void client_connection::onBytes(std::size_t size)
{
    if (m_state == state::Idle) {
        close();
        if (m_onClosed)
            m_onClosed();
        return;
    }
    if (!reserve(size)) {
        fail(exchange_failure::AnswerTooLarge);
        return;
    }
    while (m_state == state::Busy && m_buffer.size() > 0 && parseOnce()) { }
    if (m_state == state::Busy && m_buffer.size() > MAX_UNPARSED_BYTES) {
        refuseAnswer(answer_error::TooMuchUnparsed);
        return;
    }
    if (m_state == state::Busy || m_state == state::Idle)
        startRead();
}

bool client_connection::parseOnce()
{
    boost::system::error_code error;
    const auto consumed = m_parser->put(m_buffer.data(), error);
    m_buffer.consume(consumed);
    if (error && error != boost::beast::http::error::need_more) {
        refuseAnswer(error);
        return false;
    }
    if (m_parser->is_header_done() && !m_isBodyReserved && !acceptHead())
        return false;
    if (m_parser->is_done()) {
        finishAnswer();
        return true;
    }
    return consumed > 0 && !error;
}

/// Checks a head that is complete, and reserves memory for its body.
/// @return whether the exchange goes on.
bool client_connection::acceptHead()
{
    if (const auto error = checkAnswerHead(m_parser->get())) {
        refuseAnswer(error);
        return false;
    }
    if (!reserveBody()) {
        fail(exchange_failure::AnswerTooLarge);
        return false;
    }
    return true;
}

void client_connection::finishAnswer()
{
    if (m_parser->get().result_int() / 100 == 1) {
        if (++m_interimAnswers > MAX_INTERIM_ANSWERS) {
            refuseAnswer(answer_error::TooManyInterimAnswers);
            return;
        }
        resetParser();
        return;
    }
    if (m_filter && !m_filter(m_parser->get())) {
        m_isCloseRequired = true;
        if (++m_droppedAnswers > MAX_DROPPED_ANSWERS) {
            refuseAnswer(answer_error::TooManyUnrelatedAnswers);
            return;
        }
        resetParser();
        return;
    }
    auto answer = m_parser->release();
    m_parser.reset();
    releaseReserved();
    if (m_isWriting || m_buffer.size() > 0 || !answer.keep_alive())
        m_isCloseRequired = true;
    m_state = state::Idle;
    const auto self = shared_from_this();
    const auto done = std::move(m_done);
    m_done = nullptr;
    if (m_isCloseRequired)
        close();
    done(exchange_failure::None, std::move(answer));
}

void client_connection::onEndOfStream(bool wasOrderly)
{
    if (m_state == state::Idle || !m_done) {
        close();
        if (m_onClosed)
            m_onClosed();
        return;
    }
    if (!m_parser || !m_parser->got_some()) {
        fail(exchange_failure::ConnectionLost);
        return;
    }
    if (!m_parser->is_header_done()) {
        refuseAnswer(answer_error::HeadCutOff);
        return;
    }
    if (!m_parser->need_eof()) {
        refuseAnswer(answer_error::BodyCutOff);
        return;
    }
    // The system reports the error of a connection once. If the write got it, the read sees an end
    // of the stream like after an orderly close.
    if (!wasOrderly || m_hasFailed) {
        refuseAnswer(answer_error::ConnectionFailed);
        return;
    }
    boost::system::error_code error;
    m_parser->put_eof(error);
    m_isCloseRequired = true;
    if (error) {
        refuseAnswer(error);
        return;
    }
    finishAnswer();
    if (m_state == state::Busy)
        fail(exchange_failure::ConnectionLost);
}

void client_connection::resetParser()
{
    releaseReserved();
    m_parser.emplace();
    // Header and body are parsed in separate steps, so that memory for the body can be reserved in
    // between.
    m_parser->eager(false);
    m_isBodyReserved = false;
    m_parser->body_limit(MAX_ANSWER_BYTES);
    if (m_call.method() == boost::beast::http::verb::head)
        m_parser->skip(true);
}

void client_connection::fail(exchange_failure failure)
{
    const auto self = shared_from_this();
    const auto done = std::move(m_done);
    close();
    if (done)
        done(failure, {});
}

void client_connection::refuseAnswer(const std::error_code &reason)
{
    log_line(log_level::Warning, "answer_broken")
            .add("peer", m_peer.address().to_string() + ':' + std::to_string(m_peer.port()))
            .add("reason", reason.message());
    if (m_onBrokenAnswer)
        m_onBrokenAnswer(reason);
    fail(exchange_failure::MalformedAnswer);
}

void client_connection::close()
{
    m_state = state::Closed;
    releaseReserved();
    m_done = nullptr;
    m_onOpen = nullptr;
    m_connectTimer.cancel();
    closeQuietly(m_socket);
}

} // namespace clementinebeam
