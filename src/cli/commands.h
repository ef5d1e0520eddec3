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
    Failed = 1,      ///< The instance refused; the reason is on standard error.
    Usage = 2,       ///< The command line is wrong.
    Unreachable = 3, ///< The instance did not answer.
    Conflict = 4,    ///< The patch lost against another one; fetch the version and try again.
    Invalid = 5,     ///< The patch or the settings are invalid.
    NotInForce = 6,  ///< The version is not in force everywhere within the time.
};

/// What the command line says besides the command.
struct command_options {
    bool isJson = false;
    std::string author;
    std::chrono::milliseconds wait{10000};
};

/// Everything that a command works with.
struct command_context {
    const operator_client &client;
    const command_options &options;
    std::vector<std::string> arguments;
};

/// A named action of the tool.
struct command {
    std::string name;
    std::string usage; ///< Its arguments.
    std::string help;  ///< One sentence.
    std::size_t minArguments = 0;
    std::size_t maxArguments = 0;
    exit_code (*run)(const command_context &);
};

/// @return all commands.
const std::vector<command> &commands();

/// @param name a command's name.
/// @return the command, or null.
const command *findCommand(const std::string &name);

} // namespace clementinebeam
