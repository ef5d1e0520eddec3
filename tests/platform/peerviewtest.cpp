#include "internal/coordinatorlist.h"
#include "internal/peerlist.h"
#include "internal/relayedview.h"

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

BOOST_AUTO_TEST_CASE(peer_list_drops_the_oldest_entries)
{
    peer_list peers(random_source(1));
    const auto count = static_cast<std::uint16_t>(peer_list::CAPACITY + 5);
    for (std::uint16_t port = 1; port <= count; ++port)
        peers.note(peer(port), START + milliseconds(port));
    BOOST_CHECK_EQUAL(peers.size(), peer_list::CAPACITY);
    for (const auto &known : peers.pick(count, peer(0)))
        BOOST_CHECK_GT(known.port(), 5);
}

BOOST_AUTO_TEST_CASE(peer_list_never_picks_the_excluded_peer)
{
    peer_list peers(random_source(1));
    BOOST_CHECK(!peers.pickOne(peer(0)));
    peers.note(peer(1), START);
    BOOST_CHECK(!peers.pickOne(peer(1)));
    peers.note(peer(2), START);
    BOOST_CHECK(peers.pickOne(peer(1)) == peer(2));
    BOOST_CHECK_EQUAL(peers.pick(3, peer(0)).size(), 2U);
}

BOOST_AUTO_TEST_CASE(coordinator_of_the_highest_term_is_known_whatever_its_source)
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

BOOST_AUTO_TEST_CASE(relayed_view_expires_with_the_coordinators_own_view)
{
    relayed_view view;
    BOOST_CHECK(!view.isFresh(START));
    BOOST_CHECK(view.isQueryDue(START));
    view.noteAnswer(milliseconds(300), milliseconds(1000), START);
    BOOST_CHECK(view.isFresh(START));
    BOOST_CHECK(!view.isQueryDue(START));
    BOOST_CHECK(view.isFresh(START + milliseconds(999)));
    BOOST_CHECK(!view.isFresh(START + milliseconds(1000)));
    BOOST_CHECK(view.isQueryDue(START + milliseconds(400)));
}

// A coordinator that is disconnected from the store goes on answering, while the age of its view
// grows.
BOOST_AUTO_TEST_CASE(view_of_a_disconnected_coordinator_expires)
{
    relayed_view view;
    for (milliseconds age(0); age <= milliseconds(3000); age += milliseconds(100))
        view.noteAnswer(age, age, START + age);
    BOOST_CHECK(!view.isFresh(START + relayed_view::MAX_TARGET_LIST_AGE));
}

// Reads of targets can succeed while the read of the configuration hangs on a dead connection.
BOOST_AUTO_TEST_CASE(view_with_an_old_configuration_is_ignored)
{
    relayed_view view;
    view.noteAnswer(milliseconds(100), relayed_view::MAX_CONFIGURATION_AGE + milliseconds(1),
                    START);
    BOOST_CHECK(!view.isFresh(START));
}

BOOST_AUTO_TEST_CASE(one_fresh_coordinator_of_several_is_enough)
{
    relayed_view view;
    view.noteAnswer(milliseconds(2000), milliseconds(100), START);
    BOOST_CHECK(!view.isFresh(START));
    view.noteAnswer(milliseconds(100), milliseconds(100), START);
    BOOST_CHECK(view.isFresh(START));
    BOOST_CHECK(!view.isQueryDue(START));
}
