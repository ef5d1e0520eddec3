#pragma once

#include <cstddef>
#include <memory>
#include <unordered_set>
#include <utility>

namespace clementinebeam {

class memory_account;

/// The bytes that one connection holds in an account. Holds none without an account.
class memory_claim
{
public:
    memory_claim() = default;
    virtual ~memory_claim();
    memory_claim(const memory_claim &) = delete;
    memory_claim &operator=(const memory_claim &) = delete;

    std::size_t heldBytes() const { return m_bytes; }

protected:
    /// Gives most of the bytes back by refusing the request or closing the connection; called by
    /// the account when another claim needs them.
    virtual void giveUp() = 0;
    /// @return whether giveUp() may be called: no request of the connection can be running.
    virtual bool mayGiveUp() const = 0;
    /// @return whether a complete request is being handled.
    virtual bool isHandling() const = 0;

    /// To be called once, before anything is held.
    void join(std::shared_ptr<memory_account> account) { m_account = std::move(account); }

    /// @return the most that a claim may ever hold.
    std::size_t largestHold() const;

    /// Changes what is held; a smaller number is always granted.
    /// @return false if the account can't grant that; nothing is changed then.
    bool tryHold(std::size_t bytes);
    /// Holds bytes that exist already. Others may have to give up theirs.
    /// @return false if the account is overdrawn even so.
    bool hold(std::size_t bytes);
    /// @return whether a complete request may be kept until it is answered.
    bool mayHandle() const;

private:
    friend class memory_account;

    std::shared_ptr<memory_account> m_account;
    std::size_t m_bytes = 0;
};

/// Limits the memory for everything whose size others choose, as one sum for a process.
///
/// Answers callers that send more than the process can hold: bytes are charged when they arrive, so
/// an announcement alone takes nothing from others. If the account is full, the largest request
/// that is incomplete, or answer that its caller doesn't read, gives way to a smaller one; among
/// equals the newcomer is turned away. So ordinary requests are served beside a crowd of large
/// ones, and one large request is served in calm. Complete requests are kept, because they may run;
/// large ones together leave a quarter of the account to others.
class memory_account
{
public:
    /// @param limit largest sum of all bytes that are held.
    explicit memory_account(std::size_t limit)
        : m_limit(limit)
    { }

    std::size_t limit() const { return m_limit; }
    /// @return the sum of all bytes that are held.
    std::size_t used() const { return m_used; }
    /// @return how often a claim had to give up its bytes.
    std::size_t evictions() const { return m_evictions; }

    /// Takes bytes that belong to no claim, for an answer that is being received.
    /// @return whether they were granted.
    bool tryTake(std::size_t bytes);
    /// Returns bytes of tryTake().
    void giveBack(std::size_t bytes);

private:
    friend class memory_claim;

    /// A request of this size or less may always be handled.
    static constexpr std::size_t SMALL_BYTES = 65536;

    bool makeRoom(std::size_t bytes, std::size_t atMost, const memory_claim *asking);
    memory_claim *largest(std::size_t above, const memory_claim *asking) const;
    bool mayHandle(const memory_claim &claim) const;
    void set(memory_claim &claim, std::size_t bytes);

    const std::size_t m_limit;
    std::size_t m_used = 0;
    std::size_t m_evictions = 0;
    bool m_isMakingRoom = false;
    std::unordered_set<memory_claim *> m_claims; ///< Those that hold bytes.
};

} // namespace clementinebeam
