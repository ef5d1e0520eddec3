#define BOOST_TEST_MODULE storefeeds
#include "internal/storefeeds.h"
#include "platform/platformcodec.h"

#include <boost/test/unit_test.hpp>

using namespace clementinebeam;
using std::chrono::milliseconds;

namespace {

const std::string CONFIGURATION = R"({"resource-version": 7,
    "routes": {"columns": ["name", "hostname", "path-prefix", "type", "timeout",
                           "target-latency", "priority", "max-attempts", "backend"],
               "rows": [["r", "a.example", "/x/", "safe", "800ms", "400ms", 0, 2, "s"]]},
    "services": {"columns": ["name", "health-path"], "rows": [["s", "/healthz"]]}})";

/// A store behind a slow link: the configuration's answer takes a long time, and a read that waits
/// for news hears nothing.
class slow_store : public i_cluster_store
{
public:
    slow_store(boost::asio::io_context &context, milliseconds transfer)
        : m_context(context)
        , m_transfer(transfer)
    { }

    void readNewest(store_stream stream, batch_handler done) override
    {
        ++reads[stream];
        ++newestReads[stream];
        later(milliseconds(1), [done, outcome = failure] { done({outcome, {}, 1}); });
    }

    void readFrom(store_stream stream, std::uint64_t offset, milliseconds wait,
                  batch_handler done) override
    {
        ++reads[stream];
        store_batch batch{failure, {}, offset};
        if (stream == store_stream::Configuration && wait == milliseconds(0))
            batch.records.push_back({"config", CONFIGURATION, false});
        const bool isRefused = failure != store_failure::None;
        later(isRefused ? m_transfer : wait + m_transfer, [done, batch] { done(batch); });
    }

    void appendAt(store_stream, std::uint64_t, const store_record &, append_handler) override { }
    void joinCoordinators(const std::string &, std::uint64_t, milliseconds,
                          membership_handler) override
    { }
    void leaveCoordinators(const std::string &, std::function<void()>) override { }
    std::uint32_t coordinatorParts() const override { return 1; }

    std::map<store_stream, int> reads;
    std::map<store_stream, int> newestReads;
    store_failure failure = store_failure::None;

private:
    void later(milliseconds delay, std::function<void()> action)
    {
        const auto timer = std::make_shared<boost::asio::steady_timer>(m_context, delay);
        timer->async_wait([timer, action](boost::system::error_code) { action(); });
    }

    boost::asio::io_context &m_context;
    milliseconds m_transfer;
};

class recording_listener : public i_feed_listener
{
public:
    void onConfiguration(routing_configuration configuration) override
    {
        version = configuration.version;
    }
    void onTargetsChanged() override { }
    void onOwnership(const std::vector<ownership_record> &, std::uint64_t, instant) override { }
    bool isCoordinating() const override { return isCoordinator; }
    bool isInformed() const override { return hasNews; }

    std::uint64_t version = 0;
    bool isCoordinator = false;
    bool hasNews = false;
};

struct feed_fixture {
    explicit feed_fixture(milliseconds transfer = milliseconds(5))
        : store(context, transfer)
        , feeds(context, store, codec, targets, listener, metrics)
    {
        feeds.start();
        context.run_for(milliseconds(100));
    }

    ~feed_fixture()
    {
        feeds.stop();
        context.run_for(milliseconds(1));
    }

    boost::asio::io_context context{1};
    platform_codec codec;
    slow_store store;
    target_directory targets;
    recording_listener listener;
    gateway_metrics metrics;
    store_feeds feeds;
};

} // namespace

// Peers that know a newer version say so with every answer; each time the read under way began
// anew, and an instance on a slow link never took the version (dispensa-gw-grown, trouble-2).
BOOST_AUTO_TEST_CASE(refresh_under_way_is_not_begun_anew)
{
    feed_fixture path(milliseconds(700));
    for (int round = 0; round < 30 && path.listener.version == 0; ++round) {
        path.feeds.refresh(store_stream::Configuration);
        path.context.run_for(milliseconds(50));
    }
    BOOST_CHECK_EQUAL(path.listener.version, 7U);
}

BOOST_AUTO_TEST_CASE(targets_are_read_rarely_unless_they_are_followed)
{
    feed_fixture path;
    const auto before = path.store.reads[store_stream::Targets];
    path.context.run_for(milliseconds(2000));
    BOOST_CHECK_EQUAL(path.store.reads[store_stream::Targets], before);
    for (int round = 0; round < 20; ++round) {
        path.feeds.followTargets();
        path.context.run_for(milliseconds(100));
    }
    BOOST_CHECK_GE(path.store.reads[store_stream::Targets] - before, 2);
    BOOST_CHECK_LE(path.store.reads[store_stream::Targets] - before, 4);
}

BOOST_AUTO_TEST_CASE(new_coordinator_reads_targets_soon_and_often)
{
    feed_fixture path;
    const auto before = path.store.reads[store_stream::Targets];
    path.listener.isCoordinator = true;
    path.feeds.followTargets();
    path.context.run_for(milliseconds(1800));
    BOOST_CHECK_GE(path.store.reads[store_stream::Targets] - before, 4);
}

// With 195 instances, reads by each of them cost a third of a quiet day's worth
// (dispensa-gw-large).
BOOST_AUTO_TEST_CASE(informed_instance_leaves_the_store_alone)
{
    feed_fixture path;
    path.listener.hasNews = true;
    path.context.run_for(milliseconds(8200)); // The read under way ends.
    const auto before = path.store.reads;
    path.context.run_for(milliseconds(2000));
    BOOST_CHECK(path.store.reads == before);
}

BOOST_AUTO_TEST_CASE(instance_that_hears_of_nobody_reads_the_store_at_once)
{
    feed_fixture path;
    path.listener.hasNews = true;
    path.context.run_for(milliseconds(8200));
    const auto before = path.store.reads;
    path.listener.hasNews = false;
    path.context.run_for(milliseconds(300));
    BOOST_CHECK_EQUAL(path.store.reads[store_stream::Configuration],
                      before.at(store_stream::Configuration) + 1);
}

BOOST_AUTO_TEST_CASE(news_that_a_coordinator_tells_of_are_read_while_resting)
{
    feed_fixture path;
    path.listener.hasNews = true;
    path.context.run_for(milliseconds(8200));
    path.feeds.refresh(store_stream::Configuration);
    path.context.run_for(milliseconds(100));
    BOOST_CHECK_EQUAL(path.listener.version, 7U);
}

// While the store refused all calls, 195 instances repeated the reads of all three streams every
// 0.8 s (dispensa-gw-large trouble-3).
BOOST_AUTO_TEST_CASE(store_that_is_away_is_probed_by_reads_of_one_stream)
{
    feed_fixture path;
    path.listener.hasNews = true;
    path.context.run_for(milliseconds(8200));
    path.listener.hasNews = false;
    path.store.failure = store_failure::Refused;
    path.feeds.followTargets();
    path.feeds.refresh(store_stream::Coordination);
    path.context.run_for(milliseconds(1000));
    const auto before = path.store.reads;
    path.context.run_for(milliseconds(2000));
    BOOST_CHECK_GE(path.store.reads[store_stream::Configuration]
                           - before.at(store_stream::Configuration),
                   2);
    BOOST_CHECK_EQUAL(path.store.reads[store_stream::Targets], before.at(store_stream::Targets));
    BOOST_CHECK_EQUAL(path.store.reads[store_stream::Coordination],
                      before.at(store_stream::Coordination));
    path.store.failure = store_failure::None;
    path.context.run_for(milliseconds(1300));
    BOOST_CHECK_GT(path.store.reads[store_stream::Targets], before.at(store_stream::Targets));
}

// An instance that had rested proved from its old position: the store's answer held the oldest half
// megabyte of the changes since, and the position stayed, so that its claims were refused for 19 s
// (dispensa-gw-large trouble-1).
BOOST_AUTO_TEST_CASE(proof_after_a_rest_reads_the_newest_records_only)
{
    feed_fixture path;
    path.listener.hasNews = true;
    path.context.run_for(milliseconds(10500)); // The read that waits for news ends.
    const auto before = path.store.newestReads[store_stream::Coordination];
    path.feeds.prove();
    path.context.run_for(milliseconds(100));
    BOOST_CHECK_EQUAL(path.store.newestReads[store_stream::Coordination], before + 1);
    // The next one goes on from there.
    path.feeds.prove();
    path.context.run_for(milliseconds(100));
    BOOST_CHECK_EQUAL(path.store.newestReads[store_stream::Coordination], before + 1);
}
