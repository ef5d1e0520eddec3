#define BOOST_TEST_MODULE kernel
#include "clementinebeam/kernel/kernel.h"
#include "clementinebeam/kernel/base64.h"
#include "clementinebeam/kernel/networkaddress.h"
#include "clementinebeam/kernel/orderedmutex.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <set>

using namespace clementinebeam;

namespace {

std::vector<std::string> journal;

template <int level_value, bool fails>
class recorded_module : public i_module
{
public:
    std::string_view name() const override { return "recorded"; }
    int level() const override { return level_value; }
    std::error_code registerServices(service_registry &) override { return {}; }
    std::error_code start(service_registry &) override
    {
        note("start");
        return fails ? make_error_code(error_kind::Internal) : std::error_code();
    }
    void drain() override { note("drain"); }
    void stop() override { note("stop"); }

private:
    static void note(const std::string &what)
    {
        journal.push_back(what + std::to_string(level_value));
    }
};

const module_registration<recorded_module<2, false>> SECOND;
const module_registration<recorded_module<1, false>> FIRST;
const module_registration<recorded_module<3, true>> FAILING;

} // namespace

BOOST_AUTO_TEST_CASE(modules_start_by_level_and_stop_in_reverse_when_one_fails)
{
    journal.clear();
    kernel core;
    BOOST_TEST(core.start() == make_error_code(error_kind::Internal));
    const std::vector<std::string> expected{"start1", "start2", "start3", "drain2",
                                            "drain1", "stop2",  "stop1"};
    BOOST_TEST(journal == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(registry_returns_what_was_provided)
{
    service_registry registry;
    BOOST_TEST(registry.find<int>() == nullptr);
    registry.provide<int>(std::make_shared<int>(7));
    BOOST_TEST(*registry.find<int>() == 7);
}

BOOST_AUTO_TEST_CASE(each_error_kind_has_its_own_row)
{
    std::set<std::string_view> reasons;
    for (int value = 0; value <= static_cast<int>(error_kind::Internal); ++value) {
        const auto kind = static_cast<error_kind>(value);
        const auto &row = answerFor(kind);
        BOOST_TEST(static_cast<int>(row.kind) == value);
        BOOST_TEST(reasons.insert(row.reason).second);
        BOOST_TEST(static_cast<int>(errorKindFromReason(row.reason)) == value);
    }
}

BOOST_DATA_TEST_CASE(base64_round_trip, boost::unit_test::data::xrange(0, 40), length)
{
    std::string bytes;
    for (int index = 0; index < length; ++index)
        bytes += static_cast<char>(index * 37);
    BOOST_TEST(decodeBase64(encodeBase64(bytes)).value() == bytes);
}

BOOST_AUTO_TEST_CASE(base64_refuses_other_text)
{
    BOOST_TEST(!decodeBase64("abc").has_value());
    BOOST_TEST(!decodeBase64("ab!=").has_value());
}

BOOST_AUTO_TEST_CASE(network_addresses_are_an_ip_number_and_a_port)
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
