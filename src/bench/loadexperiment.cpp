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

constexpr std::chrono::milliseconds ANSWER_GRACE{500};

/// One request's end.
struct key_event {
    std::size_t key = 0;
    instant at{};
    bool isAnswered = false;
};

/// What one connection saw.
struct connection_report {
    std::vector<std::chrono::microseconds> latencies;
    std::map<std::string, std::size_t> outcomes;
    std::map<std::string, double> loadByOwner;
    std::vector<key_event> events;
};

/// One connection's thread.
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
        auto intended = m_start;
        auto nextHotMove = m_start + m_experiment.hotMoveInterval;
        for (;;) {
            intended = m_experiment.rate > 0.0 ? intended + drawGap() : boot_clock::now();
            if (intended >= end)
                return;
            if (m_experiment.hotMoveInterval.count() > 0 && intended >= nextHotMove) {
                nextHotMove += m_experiment.hotMoveInterval;
                m_keys.moveHottest(m_experiment.hotKeys);
            }
            const auto wait = intended - boot_clock::now();
            if (wait.count() > 0)
                std::this_thread::sleep_for(wait);
            sendOne(intended);
        }
    }

    const connection_report &report() const { return m_report; }

private:
    /// Poisson arrivals.
    boot_clock::duration drawGap()
    {
        const double perConnection =
                m_experiment.rate / static_cast<double>(m_experiment.connections);
        std::exponential_distribution<double> gap(perConnection);
        return std::chrono::duration_cast<boot_clock::duration>(
                std::chrono::duration<double>(gap(m_random)));
    }

    http_request makeRequest(std::size_t key)
    {
        http_request request;
        request.method = "POST";
        const auto name = "key" + std::to_string(key);
        const auto id = std::to_string(m_number) + '.' + std::to_string(++m_sent);
        if (m_experiment.isDirect) {
            request.path = "/requests";
            request.headers.add("X-Key", name);
            request.headers.add("X-Exchange-Id", id);
        } else {
            request.path =
                    "/v1/services/" + m_experiment.service + '/' + m_experiment.kind + '/' + name;
        }
        if (m_experiment.hasRequestId) {
            request.headers.add("X-Request-Id",
                                std::to_string(wallNow().time_since_epoch().count()) + '-' + id);
            request.headers.add("X-Request-Attempt", "1");
        }
        request.headers.add("X-Deadline-Ms", std::to_string(m_experiment.deadline.count()));
        return request;
    }

    void sendOne(instant intended)
    {
        const auto key = m_keys.draw(m_random);
        const auto request = makeRequest(key);
        const auto sentAt = boot_clock::now();
        std::string outcome = "no_answer";
        if (m_connection.isOpen() || !m_connection.open(m_address)) {
            const auto response = m_connection.exchange(
                    request, boot_clock::now() + m_experiment.deadline + ANSWER_GRACE);
            if (response)
                outcome = note(response.value(), boot_clock::now() - sentAt);
        }
        ++m_report.outcomes[outcome];
        m_report.latencies.push_back(boot_clock::now() - intended);
        m_report.events.push_back({key, boot_clock::now(), outcome == "answered"});
    }

    std::string note(const http_response &response, boot_clock::duration duration)
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

/// @return the longest time between two answers for one key with a failure between.
boot_clock::duration longestOutage(std::vector<key_event> &events)
{
    std::sort(events.begin(), events.end(), [](const key_event &left, const key_event &right) {
        return std::tie(left.key, left.at) < std::tie(right.key, right.at);
    });
    boot_clock::duration longest{0};
    const key_event *lastAnswer = nullptr;
    bool hasFailed = false;
    for (const auto &event : events) {
        const bool isSameKey = lastAnswer && lastAnswer->key == event.key;
        if (isSameKey && event.isAnswered && hasFailed)
            longest = std::max(longest, event.at - lastAnswer->at);
        hasFailed = !event.isAnswered;
        if (event.isAnswered)
            lastAnswer = &event;
    }
    return longest;
}

nlohmann::json combine(boot_clock::duration elapsed,
                       const std::vector<std::unique_ptr<load_connection>> &connections)
{
    std::vector<std::chrono::microseconds> latencies;
    std::map<std::string, std::size_t> outcomes;
    std::map<std::string, double> loadByOwner;
    std::vector<key_event> events;
    for (const auto &connection : connections) {
        const auto &report = connection->report();
        latencies.insert(latencies.end(), report.latencies.begin(), report.latencies.end());
        for (const auto &[outcome, count] : report.outcomes)
            outcomes[outcome] += count;
        for (const auto &[owner, load] : report.loadByOwner)
            loadByOwner[owner] += load;
        events.insert(events.end(), report.events.begin(), report.events.end());
    }
    std::vector<double> loads;
    loads.reserve(loadByOwner.size());
    for (const auto &[owner, load] : loadByOwner)
        loads.push_back(load);
    const auto imbalance = measureImbalance(loads);
    const auto summary = summarize(latencies);
    // Longer than asked for if the connections could not keep up with the arrivals.
    const auto seconds = std::chrono::duration<double>(elapsed).count();
    return {
            {"requests", summary.count},
            {"per_second", static_cast<double>(summary.count) / seconds},
            {"answered_per_second", static_cast<double>(outcomes["answered"]) / seconds},
            {"p50_us", summary.p50.count()},
            {"p99_us", summary.p99.count()},
            {"p999_us", summary.p999.count()},
            {"max_us", summary.most.count()},
            {"outcomes", outcomes},
            {"longest_outage_ms",
             std::chrono::duration_cast<std::chrono::milliseconds>(longestOutage(events)).count()},
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
