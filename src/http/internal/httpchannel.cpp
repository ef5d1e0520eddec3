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

/// Time that an exchange's thread gets to report before the waiting caller gives up by itself.
constexpr std::chrono::milliseconds REPORT_GRACE{5};

} // namespace

/// Settles between a waiting caller and the channel whether a request is sent.
class job_claim
{
public:
    /// @return whether the channel may send the request.
    bool claimForSending() { return !m_claimed.exchange(true); }

    /// @return whether the request will provably not be sent.
    bool cancel() { return !m_claimed.exchange(true); }

private:
    std::atomic<bool> m_claimed{false};
};

/// Shared with the channel's threads, so that a stuck thread can outlive the channel.
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
        std::shared_ptr<job_claim> claim;
    };

    struct lane {
        std::thread thread;
        instant busyUntil = instant::max(); ///< Overdue after this time; the maximum if idle.
        bool isConnected = false;
        bool hasEnded = false;
    };

    void submit(job work)
    {
        {
            const ordered_lock lock(m_mutex);
            m_jobs.push_back(std::move(work));
            addLanes();
        }
        m_wake.notify_one();
    }

    void start()
    {
        const ordered_lock lock(m_mutex);
        addLanes();
    }

    void stop()
    {
        std::list<std::shared_ptr<lane>> lanes;
        std::deque<job> jobs;
        {
            const ordered_lock lock(m_mutex);
            m_stopping = true;
            lanes.swap(m_lanes);
            jobs.swap(m_jobs);
        }
        m_wake.notify_all();
        for (auto &work : jobs)
            work.callback(make_error_code(error_kind::TargetUnreachable));
        for (auto &entry : lanes)
            joinOrDetach(*entry);
    }

    bool isOpen() const
    {
        const ordered_lock lock(m_mutex);
        return std::any_of(m_lanes.begin(), m_lanes.end(),
                           [](const auto &entry) { return entry->isConnected; });
    }

private:
    void joinOrDetach(lane &entry)
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

    /// Keeps the wanted number of threads that are not stuck. The mutex is held.
    void addLanes()
    {
        const auto now = boot_clock::now();
        m_lanes.remove_if([](const std::shared_ptr<lane> &entry) {
            if (entry->hasEnded)
                entry->thread.join();
            return entry->hasEnded;
        });
        const auto stuck = static_cast<std::size_t>(
                std::count_if(m_lanes.begin(), m_lanes.end(), [&](const auto &entry) {
                    return entry->busyUntil != instant::max()
                            && now - m_settings.stuckLimit > entry->busyUntil;
                }));
        auto healthy = m_lanes.size() - stuck;
        while (!m_stopping && healthy++ < m_settings.connections
               && m_lanes.size() < m_settings.maxConnections) {
            auto entry = std::make_shared<lane>();
            entry->thread = std::thread([self = shared_from_this(), entry] { self->run(*entry); });
            m_lanes.push_back(std::move(entry));
        }
    }

    void run(lane &self)
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

    bool connect(lane &self, http_connection &connection)
    {
        setBusy(self, boot_clock::now());
        const bool opened = !connection.open(m_address);
        const ordered_lock lock(m_mutex);
        self.busyUntil = instant::max();
        self.isConnected = opened;
        return opened;
    }

    /// Serves one job, or renews the connection after the idle limit.
    /// @return false if the thread should end.
    bool serve(lane &self, http_connection &connection, std::uint64_t generation)
    {
        job work;
        {
            ordered_lock lock(m_mutex);
            const bool ready = m_wake.wait_for(lock, m_settings.idleLimit,
                                               [this] { return m_stopping || !m_jobs.empty(); });
            if (m_stopping)
                return false;
            if (!ready) {
                connection.close();
                self.isConnected = false;
                return !isSurplus(self);
            }
            if (generation != m_generation) {
                connection.close();
                m_wake.notify_one();
                return true;
            }
            work = std::move(m_jobs.front());
            m_jobs.pop_front();
            self.busyUntil = work.deadline;
        }
        runJob(connection, work);
        const ordered_lock lock(m_mutex);
        self.busyUntil = instant::max();
        self.isConnected = connection.isOpen();
        return !isSurplus(self);
    }

    void runJob(http_connection &connection, job &work)
    {
        if (boot_clock::now() >= work.deadline || !work.claim->claimForSending()) {
            work.callback(make_error_code(error_kind::TargetUnreachable));
            return;
        }
        auto response = connection.exchange(work.request, work.deadline);
        // A silent connection puts all others that were opened before it under suspicion.
        if (!response && response.error() == error_kind::DeadlineExceeded)
            ++m_generation;
        work.callback(std::move(response));
    }

    /// Fails jobs whose deadline passed while no connection could be opened.
    void rejectExpired()
    {
        std::vector<job> expired;
        {
            const ordered_lock lock(m_mutex);
            const auto now = boot_clock::now();
            for (auto work = m_jobs.begin(); work != m_jobs.end();) {
                if (now < work->deadline) {
                    ++work;
                    continue;
                }
                expired.push_back(std::move(*work));
                work = m_jobs.erase(work);
            }
        }
        for (auto &work : expired)
            work.callback(make_error_code(error_kind::TargetUnreachable));
    }

    /// @return whether the thread should end because others took its place.
    bool waitAndCheckSurplus(lane &self, std::chrono::milliseconds delay)
    {
        ordered_lock lock(m_mutex);
        m_wake.wait_for(lock, delay, [this] { return m_stopping; });
        return m_stopping || isSurplus(self);
    }

    /// The mutex is held.
    bool isSurplus(lane &self)
    {
        if (m_lanes.size() <= m_settings.connections)
            return false;
        const auto idle = std::count_if(m_lanes.begin(), m_lanes.end(), [](const auto &entry) {
            return !entry->hasEnded && entry->busyUntil == instant::max();
        });
        self.hasEnded = static_cast<std::size_t>(idle) > m_settings.connections;
        return self.hasEnded;
    }

    void setBusy(lane &self, instant until)
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
    std::condition_variable_any m_wake;
    std::deque<job> m_jobs;
    std::list<std::shared_ptr<lane>> m_lanes;
    std::atomic<std::uint64_t> m_generation{0};
    bool m_stopping = false;
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
            {std::move(request), deadline, std::move(callback), std::make_shared<job_claim>()});
}

result<http_response> http_channel::exchange(http_request request, instant deadline, instant sendBy)
{
    auto promise = std::make_shared<std::promise<result<http_response>>>();
    auto claim = std::make_shared<job_claim>();
    auto future = promise->get_future();
    const auto report = [promise](result<http_response> response) {
        promise->set_value(std::move(response));
    };
    m_impl->submit({std::move(request), deadline, report, claim});
    if (sendBy < deadline) {
        if (future.wait_for(sendBy - boot_clock::now()) == std::future_status::ready)
            return future.get();
        if (claim->cancel())
            return make_error_code(error_kind::TargetUnreachable);
    }
    const auto wait = deadline + REPORT_GRACE - boot_clock::now();
    if (future.wait_for(wait) == std::future_status::ready)
        return future.get();
    if (claim->cancel())
        return make_error_code(error_kind::TargetUnreachable);
    return make_error_code(error_kind::DeadlineExceeded);
}

bool http_channel::isOpen() const
{
    return m_impl->isOpen();
}

} // namespace clementinebeam
