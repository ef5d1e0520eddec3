#include "clementinebeam/http/httpchannel.h"

#include "clementinebeam/http/httpconnection.h"
#include "clementinebeam/kernel/orderedmutex.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <future>
#include <list>
#include <thread>

namespace clementinebeam {

namespace {

/// Time after the deadline for a worker to deliver its result before the waiting caller gives up.
constexpr std::chrono::milliseconds RESULT_GRACE{5};

} // namespace

/// Lets either the channel start sending a request or the waiting caller cancel it, never both.
class send_claim
{
public:
    /// @return whether the channel may send the request; false if the caller cancelled it.
    bool tryStartSending() { return !m_claimed.exchange(true); }

    /// @return whether the request is certain never to be sent; false if sending has started.
    bool tryCancel() { return !m_claimed.exchange(true); }

private:
    std::atomic<bool> m_claimed{false};
};

/// State of a channel. Its threads share ownership, so that a stuck thread can outlive the channel.
class http_channel::implementation : public std::enable_shared_from_this<implementation>
{
public:
    implementation(network_address address, const channel_settings &settings)
        : m_address(std::move(address))
        , m_settings(settings)
    { }

    struct job {
        http_request request;
        instant deadline;
        exchange_callback callback;
        std::shared_ptr<send_claim> claim;
    };

    struct worker {
        std::thread thread;
        instant busyUntil = instant::max(); ///< Overdue after this time; the maximum if idle.
        bool isConnected = false;
        bool hasEnded = false;
    };

    void submit(job newJob)
    {
        {
            const ordered_lock lock(m_mutex);
            m_jobs.push_back(std::move(newJob));
            startMissingWorkers();
        }
        m_jobsChanged.notify_one();
    }

    void start()
    {
        const ordered_lock lock(m_mutex);
        startMissingWorkers();
    }

    void stop()
    {
        std::list<std::shared_ptr<worker>> workers;
        std::deque<job> jobs;
        {
            const ordered_lock lock(m_mutex);
            m_stopping = true;
            workers.swap(m_workers);
            jobs.swap(m_jobs);
        }
        m_jobsChanged.notify_all();
        for (auto &unsent : jobs)
            unsent.callback(make_error_code(error_kind::TargetUnreachable));
        for (auto &entry : workers)
            joinOrDetach(*entry);
    }

    void setBrokenAnswerHandler(broken_answer_handler handler)
    {
        const ordered_lock lock(m_mutex);
        m_onBrokenAnswer = std::move(handler);
    }

    bool isOpen() const
    {
        const ordered_lock lock(m_mutex);
        return std::any_of(m_workers.begin(), m_workers.end(),
                           [](const auto &entry) { return entry->isConnected; });
    }

private:
    void joinOrDetach(worker &entry)
    {
        bool stuck = false;
        {
            const ordered_lock lock(m_mutex);
            stuck = entry.busyUntil != instant::max();
        }
        if (stuck)
            entry.thread.detach();
        else
            entry.thread.join();
    }

    /// Removes ended threads and starts new ones until enough are not stuck. Needs the mutex held.
    void startMissingWorkers()
    {
        const auto now = boot_clock::now();
        m_workers.remove_if([](const std::shared_ptr<worker> &entry) {
            if (entry->hasEnded)
                entry->thread.join();
            return entry->hasEnded;
        });
        const auto stuck = static_cast<std::size_t>(
                std::count_if(m_workers.begin(), m_workers.end(), [&](const auto &entry) {
                    return entry->busyUntil != instant::max()
                            && now - m_settings.stuckLimit > entry->busyUntil;
                }));
        auto healthy = m_workers.size() - stuck;
        while (!m_stopping && healthy++ < m_settings.connections
               && m_workers.size() < m_settings.maxConnections) {
            auto entry = std::make_shared<worker>();
            entry->thread = std::thread([self = shared_from_this(), entry] { self->run(*entry); });
            m_workers.push_back(std::move(entry));
        }
    }

    void run(worker &self)
    {
        http_connection connection;
        std::uint64_t generation = 0;
        auto delay = m_settings.reconnectDelay;
        while (!isStopping()) {
            if (!connection.isOpen() || generation != m_generation) {
                generation = m_generation;
                if (!connect(self, connection)) {
                    rejectExpired();
                    if (waitAndCheckSurplus(self, delay))
                        return;
                    delay = std::min(delay * 2, m_settings.maxReconnectDelay);
                    continue;
                }
                delay = m_settings.reconnectDelay;
            }
            if (!serve(self, connection, generation))
                return;
        }
    }

    bool connect(worker &self, http_connection &connection)
    {
        setBusy(self, boot_clock::now());
        const bool opened = !connection.open(m_address);
        const ordered_lock lock(m_mutex);
        self.busyUntil = instant::max();
        self.isConnected = opened;
        return opened;
    }

    /// Runs one job, or closes the connection after the idle limit so that it is opened anew.
    /// @return false if the thread should end.
    bool serve(worker &self, http_connection &connection, std::uint64_t generation)
    {
        job nextJob;
        {
            ordered_lock lock(m_mutex);
            const bool ready = m_jobsChanged.wait_for(
                    lock, m_settings.idleLimit, [this] { return m_stopping || !m_jobs.empty(); });
            if (m_stopping)
                return false;
            if (!ready) {
                connection.close();
                self.isConnected = false;
                return !endIfSurplus(self);
            }
            if (generation != m_generation || !connection.isReusable()) {
                connection.close();
                m_jobsChanged.notify_one();
                return true;
            }
            nextJob = std::move(m_jobs.front());
            m_jobs.pop_front();
            self.busyUntil = nextJob.deadline;
        }
        runJob(connection, nextJob);
        const ordered_lock lock(m_mutex);
        self.busyUntil = instant::max();
        self.isConnected = connection.isOpen();
        return !endIfSurplus(self);
    }

    void runJob(http_connection &connection, job &current)
    {
        if (boot_clock::now() >= current.deadline || !current.claim->tryStartSending()) {
            current.callback(make_error_code(error_kind::TargetUnreachable));
            return;
        }
        auto response = connection.exchange(current.request, current.deadline);
        // After a timeout, connections opened earlier may be dead too: renew them before reuse.
        if (!response && response.error() == error_kind::DeadlineExceeded)
            ++m_generation;
        if (const auto &reason = connection.brokenAnswer())
            reportBrokenAnswer(reason);
        current.callback(std::move(response));
    }

    void reportBrokenAnswer(const std::error_code &reason)
    {
        broken_answer_handler handler;
        {
            const ordered_lock lock(m_mutex);
            handler = m_onBrokenAnswer;
        }
        if (handler)
            handler(reason);
    }

    /// Fails jobs whose deadline passed while no connection could be opened.
    void rejectExpired()
    {
        std::vector<job> expired;
        {
            const ordered_lock lock(m_mutex);
            const auto now = boot_clock::now();
            for (auto candidate = m_jobs.begin(); candidate != m_jobs.end();) {
                if (now < candidate->deadline) {
                    ++candidate;
                    continue;
                }
                expired.push_back(std::move(*candidate));
                candidate = m_jobs.erase(candidate);
            }
        }
        for (auto &expiredJob : expired)
            expiredJob.callback(make_error_code(error_kind::TargetUnreachable));
    }

    /// Waits before the next attempt to connect.
    /// @return whether the thread should end: the channel stops, or other threads replaced it.
    bool waitAndCheckSurplus(worker &self, std::chrono::milliseconds delay)
    {
        ordered_lock lock(m_mutex);
        m_jobsChanged.wait_for(lock, delay, [this] { return m_stopping; });
        return m_stopping || endIfSurplus(self);
    }

    /// Marks a thread as ended if more threads than needed are idle. The caller holds the mutex.
    /// @return whether the thread should end.
    bool endIfSurplus(worker &self)
    {
        if (m_workers.size() <= m_settings.connections)
            return false;
        const auto idle = std::count_if(m_workers.begin(), m_workers.end(), [](const auto &entry) {
            return !entry->hasEnded && entry->busyUntil == instant::max();
        });
        self.hasEnded = static_cast<std::size_t>(idle) > m_settings.connections;
        return self.hasEnded;
    }

    void setBusy(worker &self, instant until)
    {
        const ordered_lock lock(m_mutex);
        self.busyUntil = until;
    }

    bool isStopping() const
    {
        const ordered_lock lock(m_mutex);
        return m_stopping;
    }

    const network_address m_address;
    const channel_settings m_settings;
    mutable ordered_mutex m_mutex{lock_rank::ConnectionPool};
    std::condition_variable_any m_jobsChanged;
    std::deque<job> m_jobs;
    std::list<std::shared_ptr<worker>> m_workers;
    std::atomic<std::uint64_t> m_generation{0};
    bool m_stopping = false;
    broken_answer_handler m_onBrokenAnswer;
};

http_channel::http_channel(network_address address, const channel_settings &settings)
    : m_impl(std::make_shared<implementation>(std::move(address), settings))
{
    m_impl->start();
}

http_channel::~http_channel()
{
    m_impl->stop();
}

void http_channel::post(http_request request, instant deadline, exchange_callback callback)
{
    m_impl->submit(
            {std::move(request), deadline, std::move(callback), std::make_shared<send_claim>()});
}

result<http_response> http_channel::exchange(http_request request, instant deadline, instant sendBy)
{
    auto promise = std::make_shared<std::promise<result<http_response>>>();
    auto claim = std::make_shared<send_claim>();
    auto future = promise->get_future();
    const auto onResult = [promise](result<http_response> response) {
        promise->set_value(std::move(response));
    };
    m_impl->submit({std::move(request), deadline, onResult, claim});
    if (sendBy < deadline) {
        if (future.wait_for(sendBy - boot_clock::now()) == std::future_status::ready)
            return future.get();
        if (claim->tryCancel())
            return make_error_code(error_kind::TargetUnreachable);
    }
    const auto wait = deadline + RESULT_GRACE - boot_clock::now();
    if (future.wait_for(wait) == std::future_status::ready)
        return future.get();
    if (claim->tryCancel())
        return make_error_code(error_kind::TargetUnreachable);
    return make_error_code(error_kind::DeadlineExceeded);
}

void http_channel::setBrokenAnswerHandler(broken_answer_handler handler)
{
    m_impl->setBrokenAnswerHandler(std::move(handler));
}

bool http_channel::isOpen() const
{
    return m_impl->isOpen();
}

} // namespace clementinebeam
