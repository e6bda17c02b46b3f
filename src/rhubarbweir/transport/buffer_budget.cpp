// See buffer_budget.hpp.
#include "rhubarbweir/transport/buffer_budget.hpp"

#include <algorithm>
#include <utility>

namespace rhubarbweir {

namespace {

// A connection with fewer bytes is never evicted and costs no bookkeeping.
constexpr std::size_t MinCandidateBytes = 4 << 10;

} // namespace

BufferBudget::Account::Account(std::shared_ptr<BufferBudget> bufferBudget,
                               std::function<void()> evictHook)
    : budget(std::move(bufferBudget))
    , evict(std::move(evictHook))
{
}

BufferBudget::Account::~Account()
{
    this->change(0);
}

void BufferBudget::Account::set(std::size_t bytes)
{
    if (bytes == this->amount)
        return;
    const bool grows = bytes > this->amount;
    this->change(bytes);
    while (grows && this->budget->total > this->budget->limit && !this->budget->candidates.empty())
        this->budget->evictLargest();
}

void BufferBudget::Account::change(std::size_t bytes)
{
    const bool wasCandidate = this->amount >= MinCandidateBytes;
    const bool isCandidate = bytes >= MinCandidateBytes;
    this->budget->total = this->budget->total - this->amount + bytes;
    this->amount = bytes;
    if (isCandidate && !wasCandidate)
        this->budget->candidates.insert(this);
    else if (!isCandidate && wasCandidate)
        this->budget->candidates.erase(this);
}

void BufferBudget::evictLargest()
{
    Account *largest =
        *std::max_element(this->candidates.begin(), this->candidates.end(),
                          [](const Account *a, const Account *b) { return a->amount < b->amount; });
    const std::size_t bytes = largest->amount;
    largest->change(0);
    if (this->onEvicted)
        this->onEvicted(bytes);
    largest->evict();
}

} // namespace rhubarbweir
