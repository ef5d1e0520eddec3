#pragma once

#include "operatorclient.h"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace clementinebeam {

/// Exit codes of the command-line tool.
enum class exit_code {
    Success = 0,
    Failed = 1,      ///< The instance refused; standard error has the reason.
    Usage = 2,       ///< The command line is invalid.
    Unreachable = 3, ///< The instance did not respond.
    Conflict = 4,    ///< The patch's base version is out of date; fetch it and try again.
    Invalid = 5,     ///< The patch or the settings are invalid.
    NotInForce = 6,  ///< The version was not in force on all instances in time.
};

/// Options that apply to all commands.
struct command_options {
    bool isJson = false;                   ///< Print JSON instead of tables.
    std::string author;                    ///< Who makes a change, for the audit trail.
    std::chrono::milliseconds wait{10000}; ///< How long to wait for a version to be in force.
};

/// Input of a command.
struct command_context {
    const operator_client &client;
    const command_options &options;
    std::vector<std::string> arguments;
};

/// A subcommand of the tool.
struct command {
    std::string name;
    std::string usage; ///< Arguments as shown in the help text.
    std::string help;  ///< Description in one sentence.
    std::size_t minArguments = 0;
    std::size_t maxArguments = 0;
    exit_code (*run)(const command_context &);
};

/// @return all commands.
const std::vector<command> &commands();

/// @param name name of a command.
/// @return the command, or null if there is none of that name.
const command *findCommand(const std::string &name);

} // namespace clementinebeam
