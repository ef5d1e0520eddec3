#include "cases.h"

namespace review {

const std::map<std::string, case_function> &cases()
{
    static const std::map<std::string, case_function> ALL{
            {"restored-ownership", restoredOwnership},
            {"restored-configuration", restoredConfiguration},
            {"crash-after-release", crashAfterRelease},
            {"leader-turned-away", leaderTurnedAway},
            {"unknown-transfer-coding", unknownTransferCoding},
    };
    return ALL;
}

} // namespace review
