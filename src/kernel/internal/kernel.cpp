#include "clementinebeam/kernel/kernel.h"

#include <algorithm>

namespace clementinebeam {

module_catalogue &module_catalogue::instance()
{
    static module_catalogue catalogue;
    return catalogue;
}

void module_catalogue::add(module_factory factory)
{
    m_factories.push_back(std::move(factory));
}

std::vector<std::unique_ptr<i_module>> module_catalogue::createAll() const
{
    std::vector<std::unique_ptr<i_module>> modules;
    for (const auto &factory : m_factories)
        modules.push_back(factory());
    std::sort(modules.begin(), modules.end(),
              [](const auto &left, const auto &right) { return left->level() < right->level(); });
    return modules;
}

kernel::kernel()
    : m_modules(module_catalogue::instance().createAll())
{ }

std::error_code kernel::start()
{
    for (const auto &module : m_modules) {
        if (const auto error = module->registerServices(m_services))
            return error;
    }
    for (const auto &module : m_modules) {
        if (const auto error = module->start(m_services)) {
            stop();
            return error;
        }
        ++m_started;
    }
    return {};
}

void kernel::stop()
{
    for (std::size_t index = m_started; index > 0; --index)
        m_modules[index - 1]->drain();
    for (std::size_t index = m_started; index > 0; --index)
        m_modules[index - 1]->stop();
    m_started = 0;
}

} // namespace clementinebeam
