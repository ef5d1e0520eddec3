#include "internal/placementmessages.h"

#include "clementinebeam/kernel/binarycodec.h"
#include "clementinebeam/kernel/errorkind.h"
#include "clementinebeam/kernel/networkaddress.h"
#include "clementinebeam/kernel/plaintext.h"
#include "clementinebeam/keyspace/keyspacetypes.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace clementinebeam {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Limit of times in messages. The age of data that was never read counts from the start of the
/// machine's clock; a larger value could overflow where it is added to the present time.
constexpr std::chrono::hours MAX_TIME{24 * 365 * 100};

template <class unit>
bool isTime(std::int64_t value)
{
    constexpr auto LIMIT = duration_cast<unit>(MAX_TIME).count();
    return value >= -LIMIT && value <= LIMIT;
}

template <class unit>
bool isAge(std::int64_t value)
{
    return value >= 0 && isTime<unit>(value);
}

bool isReason(std::int32_t value)
{
    return value >= 0 && value <= static_cast<std::int32_t>(error_kind::Internal);
}

bool isValid(store_era era)
{
    return era <= LAST_ERA;
}

bool isValid(const evacuations_message &message)
{
    return isValid(message.version.era)
            && std::all_of(message.dataCentres.begin(), message.dataCentres.end(),
                           [](const auto &item) {
                               return !item.name.empty() && isPlainText(item.name)
                                       && isAge<milliseconds>(item.ageMs);
                           });
}

bool isValid(const place_request_message &message)
{
    return isPlainText(message.service) && isPlainText(message.dataCentre)
            && isPlainText(message.excluded) && (!message.hasKey || message.key <= LAST_KEY)
            && isTime<microseconds>(message.ageUs) && isTime<microseconds>(message.objectiveUs)
            && isTime<microseconds>(message.deadlineUs) && isValid(message.era);
}

bool isValid(const place_answer_message &message)
{
    const bool isAddressUnknown = message.targetPort == 0;
    const network_address address{message.targetHost, message.targetPort};
    return isPlainText(message.service) && isPlainText(message.target)
            && (isAddressUnknown || parseNetworkAddress(address.text()) == address)
            && isReason(message.reason) && isTime<milliseconds>(message.retryAfterMs)
            && isTime<microseconds>(message.waitedUs)
            && isAge<milliseconds>(message.targetListAgeMs)
            && isAge<milliseconds>(message.configurationAgeMs)
            && isTime<milliseconds>(message.sendWithinMs) && isValid(message.evacuations)
            && isValid(message.era);
}

bool isValid(const ended_message &message)
{
    return isPlainText(message.service) && isTime<microseconds>(message.durationUs)
            && (!message.hasLoad || message.workPercent > 0);
}

bool isValid(const ended_ack_message &)
{
    return true;
}

bool isValid(const not_coordinator_message &message)
{
    return isPlainText(message.service) && isValid(message.evacuations) && isValid(message.era);
}

bool isValid(const coordinator_query_message &message)
{
    return isPlainText(message.service) && isValid(message.era);
}

bool isValid(const crash_notice_message &message)
{
    return isPlainText(message.service)
            && std::all_of(message.crashes.begin(), message.crashes.end(), [](const auto &crash) {
                   return isPlainText(crash.target) && isTime<milliseconds>(crash.ageMs);
               });
}

bool isValid(const target_statements_message &message)
{
    return isPlainText(message.service)
            && std::all_of(message.targets.begin(), message.targets.end(), [](const auto &stated) {
                   return isPlainText(stated.target) && isAge<milliseconds>(stated.pauseMs)
                           && isTime<milliseconds>(stated.requestAgeMs)
                           && isTime<milliseconds>(stated.ageMs) && std::isfinite(stated.rateLimit)
                           && stated.rateLimit >= 0.0;
               });
}

} // namespace

result<peer_message> decodePlacementMessage(const std::string &bytes)
{
    auto message = decodeBinary<peer_message>(bytes);
    if (!message)
        return message;
    const bool isAccepted =
            std::visit([](const auto &content) { return isValid(content); }, message.value());
    if (!isAccepted)
        return make_error_code(error_kind::BadMessage);
    return message;
}

} // namespace clementinebeam
