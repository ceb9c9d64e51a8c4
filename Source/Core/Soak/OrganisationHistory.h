#pragma once

#include <atomic>
#include <random>
#include <string>
#include <vector>

#include "Common/Clock.h"
#include "Gateway/Organisations.h"
#include "Soak/SoakCallers.h"

namespace Soak {

struct Interval {
    Common::TimePoint from;
    Common::TimePoint to = Common::TimePoint::max();
};

// A write to the store. Before `asked` no gateway knows of it.
struct Change {
    Common::TimePoint asked;
    Common::TimePoint acknowledged;
};

// For how long a row, or an entry of one, was in the store.
struct Period {
    Change begin;
    Change end = { Common::TimePoint::max(), Common::TimePoint::max() };
};

struct Limit {
    double ratePerSecond = 0; // 0: none
    double burst = 0;
    Period period;
};

// Request header that gateways pass on: number of the API key that the caller sent.
inline constexpr auto keyNumberHeader = "X-Soak-Key";

// The organisations and API keys of the soak, and when they were in the store. Keys are numbered; number n belongs to organisation n modulo the
// number of organisations. Must be called on one thread, but for vary() and setFavourite().
class OrganisationHistory {
public:
    // Organisations from this one on have limits that the callers reach.
    static constexpr int firstLimited = 2;

    OrganisationHistory();

    static std::string organisationOf(int key);
    static std::string textOf(int key);
    // Whether a header value or body contains an API key.
    static bool containsKey(std::string_view text);
    static HeaderFields fieldsOf(int key);

    // What the next configuration is to contain.
    std::vector<Gateway::OrganisationEntry> entries() const;
    int keyCount() const { return static_cast<int>(m_keys.size()); }
    bool isValid(int key) const { return m_keys[static_cast<std::size_t>(key)].isValid; }
    void setValid(int key, bool isValid) { m_keys[static_cast<std::size_t>(key)].isValid = isValid; }
    int addKey();
    void setLimit(std::size_t organisation, double ratePerSecond, double burst);
    // entries() has been written to the store.
    void record(Change);

    // Empty for a key that was never in the store.
    std::vector<Period> periodsOf(int key) const;
    // By organisation.
    const std::vector<std::vector<Limit>>& limits() const { return m_limits; }

    // Callers prefer this organisation; nullopt: none.
    void setFavourite(std::optional<int> organisation) { m_favourite = organisation.value_or(-1); }
    // Chooses route and API key of a request. Thread-safe.
    HeaderFields vary(std::mt19937_64&, Outcome&) const;

private:
    struct Key {
        bool isValid = true;
        std::vector<Period> periods;
    };

    std::vector<Key> m_keys;
    std::vector<std::vector<Limit>> m_limits; // by organisation; the last is the one in force or to be written
    std::atomic<int> m_written = 0; // keys that were in the store
    std::atomic<int> m_favourite = -1;
};

}
