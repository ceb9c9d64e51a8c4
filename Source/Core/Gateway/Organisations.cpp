#include "Gateway/Organisations.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "Net/MessageSyntax.h"

namespace Gateway {

namespace {

    constexpr std::size_t maxKeyBytes = 256; // and of an organisation's name
    // Of the slots: a longer search for a free one would cost more than the memory.
    constexpr double maxUsedShare = 0.75;

    // The first 96 bits: a key that is not known has the digest of one among 100,000 with a probability of 1 in 10^24.
    std::uint32_t middleBits(const Common::Digest& digest)
    {
        return static_cast<std::uint32_t>(digest.high);
    }

    bool isVisibleText(std::string_view text)
    {
        return !text.empty() && text.size() <= maxKeyBytes && std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < '\x7f'; });
    }

    std::string forLogs(const std::string& name)
    {
        return isVisibleText(name) ? name : Net::excerpt(name);
    }

    std::string lowerCase(std::string text)
    {
        for (auto& c : text)
            c = c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
        return text;
    }

}

Common::Result<Organisations> Organisations::make(std::vector<OrganisationEntry> entries, std::uint64_t seed)
{
    std::vector<OrganisationError> errors;
    auto made = make(std::move(entries), seed, errors);
    if (errors.empty())
        return made;
    const auto& first = errors.front();
    return Common::Error { .code = Common::ResultCode::RecordInvalid, .text = fmt::format("organisation '{}': {}", first.organisation, first.text) };
}

Organisations Organisations::make(std::vector<OrganisationEntry> entries, std::uint64_t seed, std::vector<OrganisationError>& errors)
{
    Organisations made;
    made.m_seed = seed;
    std::sort(entries.begin(), entries.end(), [](const auto& a, const auto& b) { return a.organisation.name < b.organisation.name; });
    std::size_t keys = 0;
    for (const auto& entry : entries)
        keys += entry.keys.size();
    made.m_slots.resize(static_cast<std::size_t>(static_cast<double>(keys) / maxUsedShare) + 1);
    std::map<std::string, std::string> names; // by their lower case
    for (const auto& entry : entries) {
        const auto& name = entry.organisation.name;
        if (!isVisibleText(name))
            errors.push_back({ .organisation = forLogs(name), .text = "its name can't be sent in a header, expected 1 to 256 visible ASCII characters" });
        // People and backend servers that ignore case would take one for the other.
        auto [same, isNew] = names.try_emplace(lowerCase(name), name);
        if (!isNew)
            errors.push_back({ .organisation = forLogs(name), .text = fmt::format("its name differs only in case from '{}'", forLogs(same->second)) });
        made.m_organisations.push_back(entry.organisation);
        made.addKeys(entry.keys, errors);
    }
    return made;
}

// To the last organisation.
void Organisations::addKeys(const std::vector<std::string>& keys, std::vector<OrganisationError>& errors)
{
    auto name = forLogs(m_organisations.back().name);
    auto number = static_cast<std::uint32_t>(m_organisations.size());
    auto hasInvalid = false;
    auto hasKnown = false;
    for (std::size_t i = 0; i < keys.size(); ++i) {
        const auto& key = keys[i];
        if (!isVisibleText(key)) {
            if (!std::exchange(hasInvalid, true))
                errors.push_back({ .organisation = name, .text = fmt::format("API key {} of {} has {} bytes or characters that are not visible ASCII, expected 1 to {} visible ones", i + 1, keys.size(), key.size(), maxKeyBytes) });
            continue;
        }
        auto digest = Common::digest(key, m_seed);
        auto& slot = m_slots[slotOf(digest)];
        if (slot.organisation == 0) {
            slot = { .low = digest.low, .middle = middleBits(digest), .organisation = number };
            ++m_keyCount;
        } else if (!std::exchange(hasKnown, true)) {
            errors.push_back({ .organisation = name, .text = fmt::format("API key {} of {} is listed twice, here and at '{}'", i + 1, keys.size(), forLogs(m_organisations[slot.organisation - 1].name)) });
        }
    }
}

std::map<std::string, std::vector<Common::Digest>, std::less<>> Organisations::keyDigests() const
{
    std::map<std::string, std::vector<Common::Digest>, std::less<>> digests;
    for (const auto& organisation : m_organisations)
        digests[organisation.name];
    for (const auto& slot : m_slots) {
        if (slot.organisation != 0)
            digests[m_organisations[slot.organisation - 1].name].push_back({ .low = slot.low, .high = slot.middle });
    }
    for (auto& [name, list] : digests)
        std::sort(list.begin(), list.end());
    return digests;
}

// The slot of the digest, or the free one where it would be. There is always a free one.
std::size_t Organisations::slotOf(const Common::Digest& digest) const
{
    auto isOther = [&](const Slot& slot) { return slot.organisation != 0 && (slot.low != digest.low || slot.middle != middleBits(digest)); };
    auto i = static_cast<std::size_t>(digest.low % m_slots.size());
    while (isOther(m_slots[i]))
        i = i + 1 == m_slots.size() ? 0 : i + 1;
    return i;
}

const Organisation* Organisations::find(std::string_view key) const
{
    // A longer one is no key of anyone, and would cost the time to read it.
    if (m_slots.empty() || key.empty() || key.size() > maxKeyBytes)
        return nullptr;
    const auto& slot = m_slots[slotOf(Common::digest(key, m_seed))];
    return slot.organisation == 0 ? nullptr : &m_organisations[slot.organisation - 1];
}

const Organisation* Organisations::named(std::string_view name) const
{
    auto it = std::lower_bound(m_organisations.begin(), m_organisations.end(), name, [](const auto& organisation, std::string_view wanted) { return organisation.name < wanted; });
    return it != m_organisations.end() && it->name == name ? &*it : nullptr;
}

}
