#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace clementinebeam::test {

/// What one caller sends on each of its connections.
struct caller_script {
    std::string head;                   ///< Sent first.
    std::string block;                  ///< Sent repeatedly after the head.
    std::size_t blocks = 0;             ///< How often the block is sent.
    std::string tail;                   ///< Sent last; then the connection stays open.
    std::chrono::milliseconds pause{0}; ///< Between blocks.
    bool readsAnswers = true;
    int connections = 1; ///< How many connections the caller opens, one after the other's end.
};

/// Callers on one event loop that all follow the same script at the same time.
class crowd
{
public:
    /// @param context the event loop.
    /// @param peer where the callers connect to.
    /// @param script what each of them does.
    /// @param count how many there are.
    crowd(boost::asio::io_context &context, const boost::asio::ip::tcp::endpoint &peer,
          caller_script script, std::size_t count);
    ~crowd();
    crowd(const crowd &) = delete;
    crowd &operator=(const crowd &) = delete;

    /// @return whether each caller has sent all of its script on its last connection, or the
    /// connection has ended.
    bool hasSentAll() const;

    /// @return the number of answers by status; of each connection the first one counts.
    const std::map<std::string, int> &answers() const { return *m_answers; }

private:
    class caller;

    std::shared_ptr<std::map<std::string, int>> m_answers;
    std::vector<std::shared_ptr<caller>> m_callers;
};

} // namespace clementinebeam::test
