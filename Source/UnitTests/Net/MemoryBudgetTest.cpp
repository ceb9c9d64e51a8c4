#include "Net/MemoryBudget.h"

#include <memory>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace {

using Net::MemoryAccount;
using Net::MemoryBudget;

constexpr std::size_t limit = 1'000'000;

struct Case {
    std::string name;
    std::size_t used;
    bool takesLargeBodies;
    bool smallReads; // a connection that holds little
    bool largeReads; // one that holds much
    bool takesRequests;
};

const Case cases[] = {
    { "nothing held", 0, true, true, true, true },
    { "below a half", 499'999, true, true, true, true },
    { "a half: no more large bodies", 500'000, false, true, true, true },
    { "below the limit", 999'999, false, true, true, true },
    { "the limit: who holds much waits", 1'000'000, false, true, false, true },
    { "half more: no further requests", 1'500'000, false, true, false, false },
};

}

TEST_CASE("What the memory budget allows, by what is held")
{
    for (const auto& row : cases) {
        CAPTURE(row.name);
        MemoryBudget budget(limit);
        MemoryAccount account(&budget);
        account.set(row.used);
        CHECK(budget.used() == row.used);
        CHECK(budget.takesLargeBodies() == row.takesLargeBodies);
        CHECK(budget.mayRead(MemoryBudget::alwaysReadBytes - 1) == row.smallReads);
        CHECK(budget.mayRead(MemoryBudget::alwaysReadBytes) == row.largeReads);
        CHECK(budget.takesRequests() == row.takesRequests);
    }
}

TEST_CASE("An account without a budget may always read")
{
    MemoryAccount account(nullptr);
    account.set(limit);
    CHECK(account.mayRead());
}

TEST_CASE("Connections that wait for memory are called once there is room, in order, as many as there is room for")
{
    MemoryBudget budget(limit);
    MemoryAccount account(&budget);
    account.set(limit);
    std::vector<int> called;
    for (int i = 0; i < 100; ++i)
        budget.onRoom([&, i] { called.push_back(i); });
    account.set(limit - 50'000); // too little below the limit
    CHECK(called.empty());
    account.set(800'000); // 12 times 16 KB are free
    CHECK(called == std::vector<int> { 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11 });
    budget.wake();
    CHECK(called.size() == 24);
    account.set(0);
    CHECK(called.size() == 85);
    budget.wake();
    CHECK(called.size() == 100);
}

TEST_CASE("The sum of all accounts is what the budget holds, whatever their order of changes and ends")
{
    CHECK(rc::check("sum", [](const std::vector<std::pair<unsigned char, std::size_t>>& changes) {
        MemoryBudget budget(limit);
        std::vector<std::unique_ptr<MemoryAccount>> accounts;
        for (int i = 0; i < 8; ++i)
            accounts.push_back(std::make_unique<MemoryAccount>(&budget));
        for (const auto& [index, bytes] : changes) {
            auto& account = accounts[index % accounts.size()];
            if (index >= 200)
                account = std::make_unique<MemoryAccount>(&budget);
            else
                account->set(bytes);
            std::size_t sum = 0;
            for (const auto& it : accounts)
                sum += it->bytes();
            RC_ASSERT(budget.used() == sum);
            RC_ASSERT(budget.peak() >= sum);
        }
    }));
}
