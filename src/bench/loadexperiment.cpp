#include "loadexperiment.h"

#include "clementinebeam/http/httpconnection.h"
#include "clementinebeam/kernel/bootclock.h"
#include "statistics.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <thread>
#include <tuple>

namespace clementinebeam {

namespace {

constexpr std::chrono::milliseconds RESPONSE_GRACE{500};

/// Completion of one request.
struct request_completion {
    std::size_t key = 0;
    instant completedAt{};
    bool isAnswered = false;
};

/// Results of one connection.
struct connection_report {
    std::vector<std::chrono::microseconds> latencies;
    std::map<std::string, std::size_t> outcomes;
    std::map<std::string, double> loadByOwner;
    std::vector<request_completion> completions;
};

/// Sends the load of one connection; run() is the body of its thread.
class load_connection
{
public:
    load_connection(const load_experiment &experiment, std::size_t number, instant start)
        : m_experiment(experiment)
        , m_number(number)
        , m_start(start)
        , m_keys(experiment.keys, experiment.zipfExponent)
        , m_random(experiment.seed * 1000 + number)
        , m_address(experiment.addresses[number % experiment.addresses.size()])
    { }

    void run()
    {
        const auto end = m_start + m_experiment.duration;
        auto scheduledAt = m_start;
        auto nextHotMove = m_start + m_experiment.hotMoveInterval;
        for (;;) {
            scheduledAt = m_experiment.rate > 0.0 ? scheduledAt + drawInterarrivalTime()
                                                  : boot_clock::now();
            if (scheduledAt >= end)
                return;
            if (m_experiment.hotMoveInterval.count() > 0 && scheduledAt >= nextHotMove) {
                nextHotMove += m_experiment.hotMoveInterval;
                m_keys.moveHottest(m_experiment.hotKeys);
            }
            const auto wait = scheduledAt - boot_clock::now();
            if (wait.count() > 0)
                std::this_thread::sleep_for(wait);
            sendOne(scheduledAt);
        }
    }

    const connection_report &report() const { return m_report; }

private:
    /// @return a random time until the next request; arrivals are a Poisson process.
    boot_clock::duration drawInterarrivalTime()
    {
        const double perConnection =
                m_experiment.rate / static_cast<double>(m_experiment.connections);
        std::exponential_distribution<double> interarrivalTime(perConnection);
        return std::chrono::duration_cast<boot_clock::duration>(
                std::chrono::duration<double>(interarrivalTime(m_random)));
    }

    http_request makeRequest(std::size_t key)
    {
        http_request request;
        request.method = "POST";
        const auto keyName = "key" + std::to_string(key);
        const auto id = std::to_string(m_number) + '.' + std::to_string(++m_sent);
        if (m_experiment.isDirect) {
            request.path = "/requests";
            request.headers.add("X-Key", keyName);
            request.headers.add("X-Exchange-Id", id);
        } else {
            request.path = "/v1/services/" + m_experiment.service + '/' + m_experiment.kind + '/'
                    + keyName;
        }
        if (m_experiment.hasRequestId) {
            request.headers.add("X-Request-Id",
                                std::to_string(wallNow().time_since_epoch().count()) + '-' + id);
            request.headers.add("X-Request-Attempt", "1");
        }
        request.headers.add("X-Deadline-Ms", std::to_string(m_experiment.deadline.count()));
        return request;
    }

    void sendOne(instant scheduledAt)
    {
        const auto key = m_keys.draw(m_random);
        const auto request = makeRequest(key);
        const auto sentAt = boot_clock::now();
        std::string outcome = "no_answer";
        if (m_connection.isOpen() || !m_connection.open(m_address)) {
            const auto response = m_connection.exchange(
                    request, boot_clock::now() + m_experiment.deadline + RESPONSE_GRACE);
            if (response)
                outcome = recordResponse(response.value(), boot_clock::now() - sentAt);
        }
        ++m_report.outcomes[outcome];
        m_report.latencies.push_back(boot_clock::now() - scheduledAt);
        m_report.completions.push_back({key, boot_clock::now(), outcome == "answered"});
    }

    std::string recordResponse(const http_response &response, boot_clock::duration duration)
    {
        std::string outcome(response.headers.find("X-Outcome"));
        if (outcome != "answered")
            return outcome + ':' + std::string(response.headers.find("X-Reason"));
        const std::string owner(response.headers.find("X-Owner"));
        m_report.loadByOwner[owner] += std::chrono::duration<double>(duration).count();
        return outcome;
    }

    const load_experiment &m_experiment;
    std::size_t m_number;
    instant m_start;
    zipf_keys m_keys;
    std::mt19937_64 m_random;
    network_address m_address;
    http_connection m_connection;
    std::uint64_t m_sent = 0;
    connection_report m_report;
};

/// @return the longest time between two successive answered requests for one key that had a failed
///         request between them.
boot_clock::duration longestOutage(std::vector<request_completion> &completions)
{
    std::sort(completions.begin(), completions.end(),
              [](const request_completion &left, const request_completion &right) {
                  return std::tie(left.key, left.completedAt)
                          < std::tie(right.key, right.completedAt);
              });
    boot_clock::duration longest{0};
    const request_completion *lastAnswered = nullptr;
    bool hasFailed = false;
    for (const auto &completion : completions) {
        const bool isSameKey = lastAnswered && lastAnswered->key == completion.key;
        if (isSameKey && completion.isAnswered && hasFailed)
            longest = std::max(longest, completion.completedAt - lastAnswered->completedAt);
        hasFailed = !completion.isAnswered;
        if (completion.isAnswered)
            lastAnswered = &completion;
    }
    return longest;
}

nlohmann::json combine(boot_clock::duration elapsed,
                       const std::vector<std::unique_ptr<load_connection>> &connections)
{
    std::vector<std::chrono::microseconds> latencies;
    std::map<std::string, std::size_t> outcomes;
    std::map<std::string, double> loadByOwner;
    std::vector<request_completion> completions;
    for (const auto &connection : connections) {
        const auto &report = connection->report();
        latencies.insert(latencies.end(), report.latencies.begin(), report.latencies.end());
        for (const auto &[outcome, count] : report.outcomes)
            outcomes[outcome] += count;
        for (const auto &[owner, load] : report.loadByOwner)
            loadByOwner[owner] += load;
        completions.insert(completions.end(), report.completions.begin(), report.completions.end());
    }
    std::vector<double> loads;
    loads.reserve(loadByOwner.size());
    for (const auto &[owner, load] : loadByOwner)
        loads.push_back(load);
    const auto imbalance = measureImbalance(loads);
    const auto summary = summarize(latencies);
    // Exceeds the configured duration if the connections could not keep up with the rate.
    const auto seconds = std::chrono::duration<double>(elapsed).count();
    return {
            {"requests", summary.count},
            {"per_second", static_cast<double>(summary.count) / seconds},
            {"answered_per_second", static_cast<double>(outcomes["answered"]) / seconds},
            {"p50_us", summary.p50.count()},
            {"p99_us", summary.p99.count()},
            {"p999_us", summary.p999.count()},
            {"max_us", summary.maximum.count()},
            {"outcomes", outcomes},
            {"longest_outage_ms",
             std::chrono::duration_cast<std::chrono::milliseconds>(longestOutage(completions))
                     .count()},
            {"imbalance_max_over_mean", imbalance.maxOverMean},
            {"imbalance_variation", imbalance.variation},
    };
}

} // namespace

nlohmann::json runLoadExperiment(const load_experiment &experiment)
{
    std::vector<std::unique_ptr<load_connection>> connections;
    std::vector<std::thread> threads;
    const auto start = boot_clock::now();
    for (std::size_t number = 0; number < experiment.connections; ++number)
        connections.push_back(std::make_unique<load_connection>(experiment, number, start));
    threads.reserve(connections.size());
    for (auto &connection : connections)
        threads.emplace_back([&connection] { connection->run(); });
    for (auto &thread : threads)
        thread.join();
    return combine(boot_clock::now() - start, connections);
}

} // namespace clementinebeam
