#include "Soak/OrganisationHistory.h"

#include <fmt/format.h>

#include "platform/Names.h"

namespace Soak {

namespace {

    namespace Names = PlatformAdapter::Names;

    constexpr std::array organisationNames { "open", "ample", "limited", "narrow", "wide" };
    constexpr int organisationCount = organisationNames.size();
    constexpr int firstKeysEach = 3;
    constexpr std::string_view keyMark = "soak-key-";

    constexpr bool isRecorded(const Period& period)
    {
        return period.begin.acknowledged != Common::TimePoint();
    }

}

OrganisationHistory::OrganisationHistory()
    : m_keys(static_cast<std::size_t>(organisationCount * firstKeysEach))
    // Eight callers send an organisation about 40 requests a second, and up to 120 in a surge.
    , m_limits { { { 0, 0, {} } }, { { 1000, 1000, {} } }, { { 40, 40, {} } }, { { 25, 25, {} } }, { { 60, 60, {} } } }
{
}

std::string OrganisationHistory::organisationOf(int key)
{
    return organisationNames[static_cast<std::size_t>(key % organisationCount)];
}

std::string OrganisationHistory::textOf(int key)
{
    return fmt::format("{}{}-0123456789abcdef", keyMark, key);
}

bool OrganisationHistory::containsKey(std::string_view text)
{
    return text.find(keyMark) != std::string_view::npos;
}

HeaderFields OrganisationHistory::fieldsOf(int key)
{
    return { { Names::apiKey, textOf(key) }, { keyNumberHeader, std::to_string(key) } };
}

std::vector<Gateway::OrganisationEntry> OrganisationHistory::entries() const
{
    std::vector<Gateway::OrganisationEntry> entries;
    for (std::size_t i = 0; i < m_limits.size(); ++i) {
        const auto& limit = m_limits[i].back();
        entries.push_back({ .organisation = { .name = organisationNames[i], .priority = {}, .ratePerSecond = limit.ratePerSecond, .burst = limit.burst }, .keys = {} });
    }
    for (int i = 0; i < keyCount(); ++i) {
        if (isValid(i))
            entries[static_cast<std::size_t>(i % organisationCount)].keys.push_back(textOf(i));
    }
    return entries;
}

int OrganisationHistory::addKey()
{
    m_keys.emplace_back();
    return keyCount() - 1;
}

void OrganisationHistory::setLimit(std::size_t organisation, double ratePerSecond, double burst)
{
    m_limits[organisation].push_back({ .ratePerSecond = ratePerSecond, .burst = burst, .period = {} });
}

void OrganisationHistory::record(Change change)
{
    for (auto& key : m_keys) {
        auto wasValid = !key.periods.empty() && key.periods.back().end.asked == Common::TimePoint::max();
        if (key.isValid && !wasValid)
            key.periods.push_back({ .begin = change });
        else if (!key.isValid && wasValid)
            key.periods.back().end = change;
    }
    for (auto& limits : m_limits) {
        if (isRecorded(limits.back().period))
            continue;
        limits.back().period.begin = change;
        if (limits.size() > 1)
            limits[limits.size() - 2].period.end = change;
    }
    m_written = keyCount();
}

std::vector<Period> OrganisationHistory::periodsOf(int key) const
{
    return key >= 0 && key < keyCount() ? m_keys[static_cast<std::size_t>(key)].periods : std::vector<Period>();
}

HeaderFields OrganisationHistory::vary(std::mt19937_64& random, Outcome& outcome) const
{
    auto below = [&](int bound) { return static_cast<int>(random() % static_cast<std::uint64_t>(bound)); };
    constexpr int publicPeriod = 4;
    constexpr int noKeyPeriod = 12;
    constexpr int forgedPeriod = 4;
    outcome.isPublic = !outcome.once && below(publicPeriod) == 0;
    int written = m_written;
    int favourite = m_favourite;
    auto organisation = favourite >= 0 && below(2) == 0 ? favourite : below(organisationCount);
    auto key = organisation + organisationCount * below((written - 1 - organisation) / organisationCount + 1);
    HeaderFields fields;
    if (below(forgedPeriod) == 0)
        fields.push_back({ Names::organisation, organisationOf(key + 1) });
    if (below(noKeyPeriod) != 0) {
        outcome.key = key;
        for (auto& field : fieldsOf(key))
            fields.push_back(std::move(field));
        return fields;
    }
    outcome.key = noKey;
    auto text = textOf(key);
    // No header, or what is no single key of the configuration. The last one is added later, or never.
    const HeaderFields variants[] = {
        {},
        { { Names::apiKey, "" } },
        { { Names::apiKey, text + "x" } },
        { { Names::apiKey, text + ", " + text } },
        { { Names::apiKey, text }, { Names::apiKey, text } },
        { { Names::apiKey, text }, { Names::apiKey, textOf(key + 1) } },
        { { Names::apiKey, "S" + text.substr(1) } },
    };
    constexpr int laterKeyChance = std::size(variants) + 1;
    auto variant = below(laterKeyChance);
    if (variant == laterKeyChance - 1) {
        outcome.key = written;
        for (auto& field : fieldsOf(written))
            fields.push_back(std::move(field));
        return fields;
    }
    fields.insert(fields.end(), variants[variant].begin(), variants[variant].end());
    return fields;
}

}
