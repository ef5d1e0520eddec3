#define BOOST_TEST_MODULE kernel
#include "clementinebeam/kernel/kernel.h"
#include "clementinebeam/kernel/base64.h"
#include "clementinebeam/kernel/networkaddress.h"
#include "clementinebeam/kernel/orderedmutex.h"
#include "clementinebeam/kernel/plaintext.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <set>

using namespace clementinebeam;

namespace {

std::vector<std::string> calls;

template <int level_value, bool fails>
class recording_module : public i_module
{
public:
    std::string_view name() const override { return "recording"; }
    int level() const override { return level_value; }
    std::error_code registerServices(service_registry &) override { return {}; }
    std::error_code start(service_registry &) override
    {
        record("start");
        return fails ? make_error_code(error_kind::Internal) : std::error_code();
    }
    void drain() override { record("drain"); }
    void stop() override { record("stop"); }

private:
    static void record(const std::string &call)
    {
        calls.push_back(call + std::to_string(level_value));
    }
};

const module_registration<recording_module<2, false>> SECOND;
const module_registration<recording_module<1, false>> FIRST;
const module_registration<recording_module<3, true>> FAILING;

} // namespace

BOOST_AUTO_TEST_CASE(modules_start_by_level_and_stop_in_reverse_when_one_fails)
{
    calls.clear();
    kernel core;
    BOOST_TEST(core.start() == make_error_code(error_kind::Internal));
    const std::vector<std::string> expected{"start1", "start2", "start3", "drain2",
                                            "drain1", "stop2",  "stop1"};
    BOOST_TEST(calls == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(registry_returns_the_provided_service)
{
    service_registry registry;
    BOOST_TEST(registry.find<int>() == nullptr);
    registry.provide<int>(std::make_shared<int>(7));
    BOOST_TEST(*registry.find<int>() == 7);
}

BOOST_AUTO_TEST_CASE(each_error_kind_has_its_own_answer)
{
    std::set<std::string_view> reasons;
    for (int value = 0; value <= static_cast<int>(error_kind::Internal); ++value) {
        const auto kind = static_cast<error_kind>(value);
        const auto &answer = answerFor(kind);
        BOOST_TEST(static_cast<int>(answer.kind) == value);
        BOOST_TEST(reasons.insert(answer.reason).second);
        BOOST_TEST(static_cast<int>(errorKindFromReason(answer.reason)) == value);
    }
}

BOOST_DATA_TEST_CASE(base64_round_trip, boost::unit_test::data::xrange(0, 40), length)
{
    std::string bytes;
    for (int index = 0; index < length; ++index)
        bytes += static_cast<char>(index * 37);
    BOOST_TEST(decodeBase64(encodeBase64(bytes)).value() == bytes);
}

BOOST_AUTO_TEST_CASE(base64_rejects_invalid_text)
{
    BOOST_TEST(!decodeBase64("abc").has_value());
    BOOST_TEST(!decodeBase64("ab!=").has_value());
}

BOOST_AUTO_TEST_CASE(network_address_is_a_numeric_ip_address_and_a_port)
{
    const auto address = parseNetworkAddress("10.1.0.18:8381");
    BOOST_REQUIRE(address.has_value());
    BOOST_TEST(address->host == "10.1.0.18");
    BOOST_TEST(address->port == 8381);
    BOOST_TEST(address->text() == "10.1.0.18:8381");
    for (const auto *text : {"", "10.1.0.18", "host:1", "10.1.0.18:", "10.1.0.18:0",
                             "10.1.0.18:65536", "10.1.0.18:1x", ":80"})
        BOOST_TEST(!parseNetworkAddress(text).has_value(), text);
}

BOOST_AUTO_TEST_CASE(plain_text_is_utf_8_without_control_characters)
{
    for (const auto *text : {"", "k1", "caf\xc3\xa9", "a b", "\xf0\x9f\x8d\x8a"})
        BOOST_TEST(isPlainText(text), text);
    for (const auto *text : {"caf\xe9", "\xc3", "\xc0\x80", "\xed\xa0\x80", "\xf5\x80\x80\x80",
                             "\x80", "a\r\nb", "\x7f", "\t"})
        BOOST_TEST(!isPlainText(text));
    BOOST_TEST(!isPlainText(std::string_view("a\0b", 3)));
}
