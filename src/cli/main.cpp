#include "commands.h"

#include <cstdlib>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(instance, "127.0.0.1:8200", "operator address of any instance: IP number and port");
DEFINE_string(token, "", "department token; default: environment CLEMENTINEBEAM_TOKEN");
DEFINE_string(author, "operator", "who makes the change, for the audit trail");
DEFINE_string(output, "table", "table or json");
DEFINE_int64(wait_ms, 10000, "how long to wait until a version is in force");

namespace {

using namespace clementinebeam;

std::string usage()
{
    std::string text = "clementinebeam [options] COMMAND [arguments]\n\n";
    for (const auto &entry : commands()) {
        std::string line = "  " + entry.name + ' ' + entry.usage;
        line.resize(std::max<std::size_t>(line.size() + 1, 28), ' ');
        text += line + entry.help + '\n';
    }
    text += "\nExit codes: 0 success, 1 refused, 2 wrong usage, 3 unreachable, 4 conflict, "
            "5 invalid, 6 not in force everywhere.\n"
            "Options: --instance=IP:PORT --token=TOKEN --author=NAME --output=table|json "
            "--wait_ms=N\n"
            "\"clementinebeam help COMMAND\" explains one command.";
    return text;
}

int fail(const std::string &text)
{
    std::cerr << text << '\n';
    return static_cast<int>(exit_code::Usage);
}

std::optional<network_address> parseAddress(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon + 1 == text.size())
        return std::nullopt;
    const auto port = std::strtoul(text.c_str() + colon + 1, nullptr, 10);
    if (port == 0 || port > UINT16_MAX)
        return std::nullopt;
    return network_address{text.substr(0, colon), static_cast<std::uint16_t>(port)};
}

std::string token()
{
    if (!FLAGS_token.empty())
        return FLAGS_token;
    const char *value = std::getenv("CLEMENTINEBEAM_TOKEN");
    return value ? value : "";
}

int help(int argc, char **argv)
{
    const auto *entry = argc > 2 ? findCommand(argv[2]) : nullptr;
    if (entry)
        std::cout << "clementinebeam " << entry->name << ' ' << entry->usage << "\n  "
                  << entry->help << '\n';
    else
        std::cout << usage() << '\n';
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage(usage());
    gflags::SetVersionString("0.1.0");
    if (argc > 1 && (std::string(argv[1]) == "--help" || std::string(argv[1]) == "help"))
        return help(argc, argv);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc < 2)
        return fail(usage());
    const std::vector<std::string> arguments(argv + 2, argv + argc);
    const auto *entry = findCommand(argv[1]);
    if (!entry)
        return fail("unknown command " + std::string(argv[1]) + "; see clementinebeam --help");
    if (arguments.size() < entry->minArguments || arguments.size() > entry->maxArguments)
        return fail("usage: clementinebeam " + entry->name + ' ' + entry->usage);
    const auto address = parseAddress(FLAGS_instance);
    if (!address)
        return fail("--instance: expected IP:PORT, found " + FLAGS_instance);
    if (FLAGS_output != "table" && FLAGS_output != "json")
        return fail("--output: expected table or json, found " + FLAGS_output);
    command_options options;
    options.isJson = FLAGS_output == "json";
    options.author = FLAGS_author;
    options.wait = std::chrono::milliseconds(FLAGS_wait_ms);
    const operator_client client(*address, token());
    return static_cast<int>(entry->run({client, options, arguments}));
}
