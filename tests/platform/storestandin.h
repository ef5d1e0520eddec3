#pragma once

#include "clementinebeam/asynchttp/serverconnection.h"

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <string>
#include <vector>

namespace clementinebeam {

/// How the store misbehaves.
enum class store_fault {
    None,
    Away,          ///< Calls stay without an answer and do nothing.
    Refusing,      ///< Calls are rejected and do nothing.
    Slow,          ///< Calls are carried out and answered late.
    LosingAnswers, ///< Calls are carried out, and half of the answers are lost.
};

/// Stand-in of the platform's store: keyed topics, conditional appends, long polls and one group.
class store_standin : public i_request_handler
{
public:
    explicit store_standin(boost::asio::io_context &context);

    std::error_code listen(const tcp_endpoint &address) { return m_listener.listen(address); }

    /// Writes a record as the operators or the targets do.
    void put(const std::string &topic, const std::string &key, const std::string &value);

    /// @param isAway whether calls stay without an answer.
    void setAway(bool isAway) { setFault(isAway ? store_fault::Away : store_fault::None); }

    /// @param observer called with the key and the value of each record that is appended.
    void setAppendObserver(std::function<void(const std::string &, const std::string &)> observer)
    {
        m_onAppend = std::move(observer);
    }

    void setFault(store_fault fault) { m_fault = fault; }

    /// Drops a key as the store does with targets that have left.
    void remove(const std::string &topic, const std::string &key) { put(topic, key, {}); }

    /// @return how many calls of a path came.
    int calls(const std::string &path) const;

    void handle(http_call &&call, const std::shared_ptr<server_connection> &connection) override;
    const server_limits &limits() const override { return m_limits; }

private:
    struct record {
        std::string key;
        std::string value;
    };

    struct waiting_read {
        std::string topic;
        std::size_t from = 0;
        std::shared_ptr<server_connection> connection;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };

    void answerRead(const waiting_read &read);
    void wake(const std::string &topic);
    http_answer newest(const std::string &topic);
    http_answer append(const std::string &topic, const std::string &at, const std::string &body);
    http_answer join(const std::string &body);
    http_answer leave(const std::string &body);
    void forgetSilentMembers();
    void answer(http_call &&call, const std::shared_ptr<server_connection> &connection);
    bool isAway() const { return m_fault == store_fault::Away; }
    std::string content(const std::string &topic, std::size_t from) const;

    boost::asio::io_context &m_context;
    server_listener m_listener;
    server_limits m_limits;
    std::map<std::string, std::vector<record>> m_topics;
    std::vector<waiting_read> m_waiting;
    std::map<std::string, int> m_calls;
    store_fault m_fault = store_fault::None;
    std::function<void(const std::string &, const std::string &)> m_onAppend;
    std::uint64_t m_generation = 0;
    std::map<std::string, std::chrono::steady_clock::time_point> m_members; ///< With their ends.
};

} // namespace clementinebeam
