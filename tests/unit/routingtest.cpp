#define BOOST_TEST_MODULE routing
#include "clementinebeam/dispatch/retrybudget.h"
#include "internal/callerrequest.h"
#include "internal/concurrencylimit.h"
#include "internal/quarantine.h"
#include "internal/targetqueue.h"

#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <mutex>
#include <thread>

using namespace clementinebeam;
using std::chrono::milliseconds;

namespace {

const instant FAR_DEADLINE = boot_clock::now() + std::chrono::hours(1);
const flow_id FLOW{"member", "order"};

/// A path, a header and the expected result of parsing.
struct request_row {
    std::string path;
    std::string header;
    std::string value;
    error_kind expected;
};

std::ostream &operator<<(std::ostream &stream, const request_row &row)
{
    return stream << row.path << ' ' << row.header << ": " << row.value;
}

const std::vector<request_row> REQUESTS{
        {"/v1/services/orders/order/deli 9", "", "", error_kind::BadRequest},
        {"/v1/services/orders/order/deli9", "", "", error_kind::None},
        {"/v1/services/orders/order/a/b", "", "", error_kind::None},
        {"/v1/services/orders/order/", "", "", error_kind::BadRequest},
        {"/v1/services/orders/order", "", "", error_kind::BadRequest},
        {"/v1/services//order/x", "", "", error_kind::BadRequest},
        {"/elsewhere", "", "", error_kind::BadRequest},
        {"/v1/services/orders/order/a\r\nX-Evil:1", "", "", error_kind::BadRequest},
        {"/v1/services/orders/order/" + std::string(512, 'k'), "", "", error_kind::None},
        {"/v1/services/orders/order/" + std::string(513, 'k'), "", "", error_kind::TooLarge},
        {"/v1/services/orders/order/x", "X-Request-Id", std::string(129, 'i'),
         error_kind::TooLarge},
        {"/v1/services/orders/order/x", "X-Member", std::string(65, 'm'), error_kind::TooLarge},
        {"/v1/services/orders/order/x", "X-Deadline-Ms", "0", error_kind::BadRequest},
        {"/v1/services/orders/order/x", "X-Deadline-Ms", "-5", error_kind::BadRequest},
        {"/v1/services/orders/order/x", "X-Deadline-Ms", "5s", error_kind::BadRequest},
        {"/v1/services/orders/order/x", "X-Deadline-Ms", "99999999999999999999",
         error_kind::BadRequest},
        {"/v1/services/orders/order/x", "X-Deadline-Ms", "500", error_kind::None},
};

} // namespace

BOOST_DATA_TEST_CASE(request_fields_are_validated, REQUESTS, row)
{
    http_request request;
    request.path = row.path;
    if (!row.header.empty())
        request.headers.add(row.header, row.value);
    const auto parsed = parseCallerRequest(request, {}, boot_clock::now());
    BOOST_CHECK((parsed ? error_kind::None : kindOf(parsed.error())) == row.expected);
}

BOOST_AUTO_TEST_CASE(deadline_is_bounded_by_the_settings)
{
    http_request request;
    request.path = "/v1/services/orders/order/x";
    request.headers.add("x-deadline-ms", "99999999");
    const daemon_settings settings;
    const auto now = boot_clock::now();
    BOOST_CHECK(parseCallerRequest(request, settings, now).value().deadline
                == now + settings.maxDeadline);
}

BOOST_AUTO_TEST_CASE(fingerprint_depends_on_kind_key_and_body)
{
    caller_request request;
    request.kind = "order";
    request.key = "k";
    request.body = "b";
    auto other = request;
    other.body = "c";
    BOOST_TEST(request.fingerprint() != other.fingerprint());
    other = request;
    other.key = "l";
    BOOST_TEST(request.fingerprint() != other.fingerprint());
    other = request;
    other.requestId = "another";
    BOOST_TEST(request.fingerprint() == other.fingerprint());
}

BOOST_AUTO_TEST_CASE(second_crash_quarantines_only_that_request)
{
    quarantine table;
    BOOST_TEST(table.noteCrash("orders", 1, "t1"));
    BOOST_TEST(!table.isQuarantined("orders", 1));
    BOOST_TEST(table.noteCrash("orders", 1, "t2"));
    BOOST_TEST(table.isQuarantined("orders", 1));
    BOOST_TEST(!table.isQuarantined("orders", 2));
    BOOST_TEST(!table.isQuarantined("billing", 1));
}

BOOST_AUTO_TEST_CASE(copies_lost_in_one_crash_count_once)
{
    quarantine table;
    for (int copy = 0; copy < 10; ++copy)
        table.noteCrash("orders", 1, "t1");
    BOOST_TEST(!table.isQuarantined("orders", 1));
}

BOOST_AUTO_TEST_CASE(request_that_was_answered_is_never_a_suspect)
{
    quarantine table;
    table.noteAnswer("orders", 1);
    for (const auto *target : {"t1", "t2", "t3"})
        BOOST_TEST(!table.noteCrash("orders", 1, target));
    BOOST_TEST(!table.isQuarantined("orders", 1));
}

BOOST_AUTO_TEST_CASE(retries_are_a_tenth_of_requests_once_the_reserve_is_spent)
{
    retry_budget budget;
    int reserve = 0;
    while (budget.withdraw())
        ++reserve;
    for (int request = 0; request < 100; ++request)
        budget.deposit();
    int retries = 0;
    while (budget.withdraw())
        ++retries;
    BOOST_TEST(reserve == 20);
    BOOST_TEST(retries >= 9);
    BOOST_TEST(retries <= 10);
}

BOOST_AUTO_TEST_CASE(limit_grows_with_fast_answers_and_shrinks_when_the_target_sheds)
{
    concurrency_limit limit(8);
    const auto start = limit.value();
    for (int answer = 0; answer < 200; ++answer)
        limit.noteAnswer(milliseconds(2), true);
    BOOST_TEST(limit.value() == 8U);
    BOOST_TEST(start < 8U);
    for (int shed = 0; shed < 20; ++shed)
        limit.noteOverload();
    BOOST_TEST(limit.value() == 1U);
}

BOOST_AUTO_TEST_CASE(limit_does_not_grow_while_it_is_not_reached)
{
    concurrency_limit limit(8);
    for (int answer = 0; answer < 200; ++answer)
        limit.noteAnswer(milliseconds(2), false);
    BOOST_TEST(limit.value() == 2U);
}

BOOST_AUTO_TEST_CASE(request_beyond_the_queue_is_refused_at_once)
{
    target_queue queue(2, 0);
    BOOST_TEST(!queue.acquire(FLOW, 1.0, FAR_DEADLINE));
    BOOST_TEST(!queue.acquire(FLOW, 1.0, FAR_DEADLINE));
    BOOST_TEST(queue.acquire(FLOW, 1.0, FAR_DEADLINE) == make_error_code(error_kind::Overloaded));
    queue.release();
    BOOST_TEST(!queue.acquire(FLOW, 1.0, FAR_DEADLINE));
}

BOOST_AUTO_TEST_CASE(request_that_cannot_be_served_before_its_deadline_is_refused_at_once)
{
    target_queue queue(1, 100);
    BOOST_TEST(!queue.acquire(FLOW, 1.0, FAR_DEADLINE));
    queue.releaseAnswered(std::chrono::seconds(5));
    BOOST_TEST(!queue.acquire(FLOW, 1.0, FAR_DEADLINE));
    const auto deadline = boot_clock::now() + milliseconds(2500);
    BOOST_TEST(queue.acquire(FLOW, 1.0, deadline) == make_error_code(error_kind::Overloaded));
    BOOST_CHECK(boot_clock::now() < deadline);
}

namespace {

/// Queues requests from one thread each and records the order in which they are admitted.
class waiting_requests
{
public:
    explicit waiting_requests(target_queue &queue)
        : m_queue(queue)
    { }

    ~waiting_requests()
    {
        for (auto &thread : m_threads)
            thread.join();
    }

    waiting_requests(const waiting_requests &) = delete;
    waiting_requests &operator=(const waiting_requests &) = delete;

    /// Adds requests of one member and returns once all of them are in the queue.
    void add(const std::string &member, double share, std::size_t count)
    {
        const auto wanted = m_queue.waitingCount() + count;
        for (std::size_t index = 0; index < count; ++index)
            m_threads.emplace_back([this, member, share] { wait(member, share); });
        while (m_queue.waitingCount() < wanted)
            std::this_thread::yield();
    }

    std::vector<std::string> admitted()
    {
        const std::lock_guard lock(m_mutex);
        return m_admitted;
    }

private:
    void wait(const std::string &member, double share)
    {
        if (m_queue.acquire({member, "order"}, share, FAR_DEADLINE))
            return;
        {
            const std::lock_guard lock(m_mutex);
            m_admitted.push_back(member);
        }
        m_queue.release();
    }

    target_queue &m_queue;
    std::mutex m_mutex;
    std::vector<std::string> m_admitted;
    std::vector<std::thread> m_threads;
};

} // namespace

BOOST_AUTO_TEST_CASE(waiting_flows_share_a_target_by_their_weights)
{
    target_queue queue(1, 1000);
    BOOST_REQUIRE(!queue.acquire(FLOW, 1.0, FAR_DEADLINE));
    std::vector<std::string> order;
    {
        waiting_requests requests(queue);
        requests.add("large", 3.0, 30);
        requests.add("small", 1.0, 30);
        queue.release();
        while (requests.admitted().size() < 60)
            std::this_thread::yield();
        order = requests.admitted();
    }
    const auto large = std::count(order.begin(), order.begin() + 20, "large");
    BOOST_TEST(large >= 14);
    BOOST_TEST(large <= 16);
}

BOOST_AUTO_TEST_CASE(full_queue_evicts_from_the_longest_flow_for_a_shorter_one)
{
    target_queue queue(1, 4);
    BOOST_REQUIRE(!queue.acquire(FLOW, 1.0, FAR_DEADLINE));
    waiting_requests requests(queue);
    requests.add("greedy", 1.0, 4);
    BOOST_TEST(queue.acquire({"greedy", "order"}, 1.0, FAR_DEADLINE)
               == make_error_code(error_kind::Overloaded));
    std::thread modest([&] {
        BOOST_TEST(!queue.acquire({"modest", "order"}, 1.0, FAR_DEADLINE));
        queue.release();
    });
    queue.release();
    modest.join();
}
