#include "clementinebeam/kernel/orderedmutex.h"

#include <cstdio>
#include <cstdlib>
#include <vector>

namespace clementinebeam {

namespace {

#ifdef CLEMENTINEBEAM_CHECK_LOCKS
thread_local std::vector<lock_rank> heldRanks;

void checkOrder(lock_rank rank)
{
    if (heldRanks.empty() || heldRanks.back() < rank)
        return;
    std::fprintf(stderr, "event=lock_order_violation held=%d wanted=%d\n",
                 static_cast<int>(heldRanks.back()), static_cast<int>(rank));
    std::abort();
}

void pushRank(lock_rank rank)
{
    heldRanks.push_back(rank);
}

void popRank(lock_rank rank)
{
    for (auto held = heldRanks.rbegin(); held != heldRanks.rend(); ++held) {
        if (*held == rank) {
            heldRanks.erase(std::next(held).base());
            return;
        }
    }
}
#else
void checkOrder(lock_rank) { }
void pushRank(lock_rank) { }
void popRank(lock_rank) { }
#endif

} // namespace

void ordered_mutex::lock()
{
    checkOrder(m_rank);
    m_mutex.lock();
    pushRank(m_rank);
}

void ordered_mutex::unlock()
{
    popRank(m_rank);
    m_mutex.unlock();
}

bool ordered_mutex::try_lock()
{
    checkOrder(m_rank);
    if (!m_mutex.try_lock())
        return false;
    pushRank(m_rank);
    return true;
}

} // namespace clementinebeam
