#pragma once

#include "standins.h"

namespace review {

/// A case: returns HELD, BROKEN or NOT_RUN.
using case_function = std::function<int(deployment &system, bool hasTrouble)>;

const std::map<std::string, case_function> &cases();

int restoredOwnership(deployment &system, bool hasTrouble);
int restoredConfiguration(deployment &system, bool hasTrouble);
int crashAfterRelease(deployment &system, bool hasTrouble);
int leaderTurnedAway(deployment &system, bool hasTrouble);
int unknownTransferCoding(deployment &system, bool hasTrouble);

} // namespace review
