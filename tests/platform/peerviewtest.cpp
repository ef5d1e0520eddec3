#include "internal/coordinatorlist.h"
#include "internal/peerbook.h"
#include "internal/relayednews.h"

#include <boost/test/unit_test.hpp>

using namespace clementinebeam;
using std::chrono::milliseconds;

namespace {

const instant START{std::chrono::seconds(100)};
const service_name SERVICE = "orders";

udp_endpoint peer(std::uint16_t port)
{
    return {boost::asio::ip::make_address_v4("127.0.0.1"), port};
}

} // namespace

BOOST_AUTO_TEST_CASE(peer_book_forgets_those_heard_of_longest_ago)
{
    peer_book book(random_source(1));
    const auto count = static_cast<std::uint16_t>(peer_book::CAPACITY + 5);
    for (std::uint16_t port = 1; port <= count; ++port)
        book.note(peer(port), START + milliseconds(port));
    BOOST_CHECK_EQUAL(book.size(), peer_book::CAPACITY);
    for (const auto &known : book.draw(count, peer(0)))
        BOOST_CHECK_GT(known.port(), 5);
}

BOOST_AUTO_TEST_CASE(peer_book_draws_others_than_the_excluded_one)
{
    peer_book book(random_source(1));
    BOOST_CHECK(!book.drawOne(peer(0)));
    book.note(peer(1), START);
    BOOST_CHECK(!book.drawOne(peer(1)));
    book.note(peer(2), START);
    BOOST_CHECK(book.drawOne(peer(1)) == peer(2));
    BOOST_CHECK_EQUAL(book.draw(3, peer(0)).size(), 2U);
}

BOOST_AUTO_TEST_CASE(higher_term_names_the_coordinator_whoever_told_it)
{
    coordinator_list list;
    BOOST_CHECK(!list.find(SERVICE));
    BOOST_CHECK(list.note(SERVICE, {2, peer(2)}));
    BOOST_CHECK(!list.note(SERVICE, {1, peer(1)}));
    BOOST_CHECK(!list.note(SERVICE, {2, peer(9)}));
    BOOST_CHECK(list.find(SERVICE)->peer == peer(2));
    BOOST_CHECK(list.note(SERVICE, {3, peer(3)}));
    BOOST_CHECK(list.find(SERVICE)->peer == peer(3));
}

BOOST_AUTO_TEST_CASE(news_are_relayed_only_while_a_coordinators_own_view_is_fresh)
{
    relayed_news news;
    BOOST_CHECK(!news.isFresh(START));
    BOOST_CHECK(news.isDue(START));
    news.noteAnswer(milliseconds(300), milliseconds(1000), START);
    BOOST_CHECK(news.isFresh(START));
    BOOST_CHECK(!news.isDue(START));
    BOOST_CHECK(news.isFresh(START + milliseconds(999)));
    BOOST_CHECK(!news.isFresh(START + milliseconds(1000)));
    BOOST_CHECK(news.isDue(START + milliseconds(400)));
}

// A coordinator that is cut from the store goes on answering; its view grows old while it does.
BOOST_AUTO_TEST_CASE(coordinator_that_is_cut_from_the_store_relays_nothing)
{
    relayed_news news;
    for (milliseconds age(0); age <= milliseconds(3000); age += milliseconds(100))
        news.noteAnswer(age, age, START + age);
    BOOST_CHECK(!news.isFresh(START + relayed_news::MAX_NEWS_AGE));
}

// Targets can be read while the read of the configuration hangs on a connection gone silent.
BOOST_AUTO_TEST_CASE(hanging_read_of_the_configuration_relays_nothing)
{
    relayed_news news;
    news.noteAnswer(milliseconds(100), relayed_news::MAX_CONFIGURATION_AGE + milliseconds(1),
                    START);
    BOOST_CHECK(!news.isFresh(START));
}

BOOST_AUTO_TEST_CASE(one_fresh_coordinator_of_several_is_enough)
{
    relayed_news news;
    news.noteAnswer(milliseconds(2000), milliseconds(100), START);
    BOOST_CHECK(!news.isFresh(START));
    news.noteAnswer(milliseconds(100), milliseconds(100), START);
    BOOST_CHECK(news.isFresh(START));
    BOOST_CHECK(!news.isDue(START));
}
