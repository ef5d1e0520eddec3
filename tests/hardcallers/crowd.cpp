#include "crowd.h"

#include <boost/asio/write.hpp>

namespace clementinebeam::test {

namespace {

using tcp = boost::asio::ip::tcp;
using boost::system::error_code;

/// Time before a refused connection is opened again.
constexpr std::chrono::milliseconds REOPEN_DELAY{20};
/// Receive buffer of callers that read nothing.
constexpr int UNREAD_BYTES = 4096;

} // namespace

class crowd::caller : public std::enable_shared_from_this<caller>
{
public:
    caller(boost::asio::io_context &context, tcp::endpoint peer,
           std::shared_ptr<const caller_script> script,
           std::shared_ptr<std::map<std::string, int>> answers)
        : m_socket(context)
        , m_timer(context)
        , m_peer(std::move(peer))
        , m_script(std::move(script))
        , m_answers(std::move(answers))
    { }

    void open()
    {
        if (m_isStopped || m_opened++ >= m_script->connections) {
            m_isDone = true;
            return;
        }
        m_isFirstRead = true;
        error_code error;
        m_socket.close(error);
        m_socket.open(m_peer.protocol(), error);
        if (!m_script->readsAnswers)
            m_socket.set_option(tcp::socket::receive_buffer_size(UNREAD_BYTES), error);
        m_socket.async_connect(m_peer, [self = shared_from_this()](error_code failure) {
            if (failure) {
                self->reopen();
                return;
            }
            if (self->m_script->readsAnswers)
                self->read();
            self->write(self->m_script->head, 0);
        });
    }

    void stop()
    {
        m_isStopped = true;
        error_code ignored;
        m_socket.close(ignored);
        m_timer.cancel();
    }

    bool isDone() const { return m_isDone; }

private:
    void write(const std::string &bytes, std::size_t nextBlock)
    {
        const int connection = m_opened;
        boost::asio::async_write(
                m_socket, boost::asio::buffer(bytes),
                [self = shared_from_this(), nextBlock, connection](error_code error, std::size_t) {
                    if (connection != self->m_opened || self->m_isStopped)
                        return;
                    if (error)
                        self->end();
                    else
                        self->continueAfterPause(nextBlock);
                });
    }

    void continueAfterPause(std::size_t nextBlock)
    {
        if (m_script->pause == std::chrono::milliseconds(0)) {
            writeNext(nextBlock);
            return;
        }
        const int connection = m_opened;
        m_timer.expires_after(m_script->pause);
        m_timer.async_wait([self = shared_from_this(), nextBlock, connection](error_code error) {
            if (!error && connection == self->m_opened)
                self->writeNext(nextBlock);
        });
    }

    void writeNext(std::size_t block)
    {
        if (block < m_script->blocks)
            write(m_script->block, block + 1);
        else if (block == m_script->blocks && !m_script->tail.empty())
            write(m_script->tail, block + 1);
        else if (m_opened >= m_script->connections)
            m_isDone = true;
    }

    void read()
    {
        const int connection = m_opened;
        m_socket.async_read_some(
                boost::asio::buffer(m_received),
                [self = shared_from_this(), connection](error_code error, std::size_t size) {
                    if (connection != self->m_opened || self->m_isStopped)
                        return;
                    if (error) {
                        self->end();
                        return;
                    }
                    constexpr std::size_t STATUS_AT = 9;
                    if (self->m_isFirstRead && size >= STATUS_AT + 3)
                        ++(*self->m_answers)[std::string(self->m_received.data() + STATUS_AT, 3)];
                    self->m_isFirstRead = false;
                    self->read();
                });
    }

    void end()
    {
        error_code ignored;
        m_socket.close(ignored);
        reopen();
    }

    void reopen()
    {
        m_timer.expires_after(REOPEN_DELAY);
        m_timer.async_wait([self = shared_from_this()](error_code error) {
            if (!error)
                self->open();
        });
    }

    tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    const tcp::endpoint m_peer;
    const std::shared_ptr<const caller_script> m_script;
    const std::shared_ptr<std::map<std::string, int>> m_answers;
    std::array<char, 4096> m_received{};
    int m_opened = 0;
    bool m_isFirstRead = true;
    bool m_isDone = false;
    bool m_isStopped = false;
};

crowd::crowd(boost::asio::io_context &context, const tcp::endpoint &peer, caller_script script,
             std::size_t count)
    : m_answers(std::make_shared<std::map<std::string, int>>())
{
    const auto shared = std::make_shared<const caller_script>(std::move(script));
    for (std::size_t number = 0; number < count; ++number) {
        m_callers.push_back(std::make_shared<caller>(context, peer, shared, m_answers));
        m_callers.back()->open();
    }
}

crowd::~crowd()
{
    for (const auto &member : m_callers)
        member->stop();
}

bool crowd::hasSentAll() const
{
    for (const auto &member : m_callers) {
        if (!member->isDone())
            return false;
    }
    return true;
}

} // namespace clementinebeam::test
