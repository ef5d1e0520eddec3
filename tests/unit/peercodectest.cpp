#define BOOST_TEST_MODULE peercodec
#include "clementinebeam/peering/peercodec.h"
#include "clementinebeam/kernel/randomsource.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace clementinebeam;

namespace {

const std::string KEY = "0123456789abcdef";

peer_envelope sampleEnvelope()
{
    admit_request body{{"orders", 3}, "1700000000000-a", 5, 6, 7, 8};
    return {{"i1", 42}, 9, false, body};
}

error_kind decodeError(const std::string &bytes, const std::string &key = KEY)
{
    const auto decoded = decodePeerMessage(bytes, key);
    return decoded ? error_kind::None : kindOf(decoded.error());
}

} // namespace

BOOST_AUTO_TEST_CASE(message_round_trip)
{
    const auto decoded = decodePeerMessage(encodePeerMessage(sampleEnvelope(), KEY), KEY);
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded.value().sender.instance == "i1");
    BOOST_TEST(decoded.value().correlation == 9U);
    BOOST_TEST(std::get<admit_request>(decoded.value().body).requestId == "1700000000000-a");
}

BOOST_AUTO_TEST_CASE(message_with_another_key_is_refused)
{
    const auto bytes = encodePeerMessage(sampleEnvelope(), KEY);
    BOOST_CHECK(decodeError(bytes, "another key 0123") == error_kind::MessageUnauthenticated);
}

BOOST_AUTO_TEST_CASE(message_of_another_version_is_refused)
{
    auto bytes = encodePeerMessage(sampleEnvelope(), KEY);
    bytes[1] = static_cast<char>(bytes[1] + 1);
    BOOST_CHECK(decodeError(bytes) == error_kind::MessageVersion);
}

BOOST_AUTO_TEST_CASE(oversized_message_is_refused)
{
    BOOST_CHECK(decodeError(std::string(MAX_PEER_MESSAGE_BYTES + 1, 'x')) == error_kind::TooLarge);
}

BOOST_AUTO_TEST_CASE(every_truncated_message_is_refused)
{
    const auto bytes = encodePeerMessage(sampleEnvelope(), KEY);
    for (std::size_t length = 0; length < bytes.size(); ++length)
        BOOST_CHECK(decodeError(bytes.substr(0, length)) != error_kind::None);
}

BOOST_AUTO_TEST_CASE(every_changed_byte_is_detected)
{
    const auto bytes = encodePeerMessage(sampleEnvelope(), KEY);
    for (std::size_t index = 0; index < bytes.size(); ++index) {
        auto changed = bytes;
        changed[index] = static_cast<char>(changed[index] ^ 0x20);
        BOOST_CHECK(decodeError(changed) != error_kind::None);
    }
}

BOOST_AUTO_TEST_CASE(corrupt_bodies_never_crash_the_decoder)
{
    random_source random(7);
    const auto bytes = encodePeerMessage(sampleEnvelope(), KEY).substr(34);
    for (int round = 0; round < 20000; ++round) {
        auto corrupt = bytes.substr(0, 1 + random() % bytes.size());
        for (int change = 0; change < 3; ++change)
            corrupt[random() % corrupt.size()] = static_cast<char>(random());
        (void)decodePeerBody(corrupt);
    }
    BOOST_TEST(decodePeerBody(bytes).has_value());
}
