// Limit on the bytes that the connections of an event loop buffer together, so that no number of
// slow or incomplete senders and readers exhausts the memory of the process.
#pragma once

#include <cstddef>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <unordered_set>

namespace rhubarbweir {

// Not thread-safe: use it only on the thread of its event loop.
class BufferBudget
{
public:
    // What is buffered for one connection.
    class Account
    {
    public:
        // `evict` has to give up the buffered bytes and close the connection. It is called from
        // within set(), also that of another account, so it must not call the connection's owner.
        Account(std::shared_ptr<BufferBudget> budget, std::function<void()> evict);
        ~Account();
        Account(const Account &) = delete;
        Account &operator=(const Account &) = delete;

        // Evicts the connections with the most bytes while the limit is exceeded.
        void set(std::size_t bytes);
        std::size_t bytes() const { return this->amount; }

    private:
        friend class BufferBudget;

        void change(std::size_t bytes);

        std::shared_ptr<BufferBudget> budget;
        std::function<void()> evict;
        std::size_t amount = 0;
    };

    // Unlimited until the first call.
    void setLimit(std::size_t bytes) { this->limit = bytes; }
    std::size_t used() const { return this->total; }

    // Called before a connection is evicted.
    std::function<void(std::size_t bytes)> onEvicted;

private:
    void evictLargest();

    std::size_t limit = std::numeric_limits<std::size_t>::max();
    // Sum of all accounts.
    std::size_t total = 0;
    // Accounts that are worth evicting.
    std::unordered_set<Account *> candidates;
};

} // namespace rhubarbweir
