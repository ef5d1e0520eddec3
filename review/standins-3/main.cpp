#include "cases.h"

#include <cstring>

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGTERM, review::giveUp);
    std::signal(SIGINT, review::giveUp);
    const bool hasTrouble =
            !std::getenv("TROUBLE") || std::strcmp(std::getenv("TROUBLE"), "0") != 0;
    if (argc != 3) {
        std::fprintf(stderr, "usage: %s CASE FOLDER\n", argv[0]);
        return review::NOT_RUN;
    }
    const auto &all = review::cases();
    const auto found = all.find(argv[1]);
    if (found == all.end())
        return review::NOT_RUN;
    review::record.open(std::string(argv[2]) + "/record.txt");
    int result = review::NOT_RUN;
    // Not destroyed: threads of the stand-ins use it until the program exits.
    auto &system = *new review::deployment();
    try {
        result = found->second(system, hasTrouble);
    } catch (const std::exception &error) {
        std::fprintf(stderr, "%s\n", error.what());
    }
    system.end();
    review::record.line("result %d", result);
    std::printf("%s: %s\n", argv[1],
                result == review::HELD             ? "the rule held"
                        : result == review::BROKEN ? "the rule was broken"
                                                   : "the case could not run");
    std::fflush(nullptr);
    // Threads of the stand-ins still run.
    _exit(result);
}
