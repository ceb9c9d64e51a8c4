#include "Gateway/Organisations.h"

#include <algorithm>

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

    Common::Error invalid(const std::string& organisation, std::string_view what)
    {
        return { .code = Common::ResultCode::RecordInvalid, .text = fmt::format("organisation '{}': {}", organisation, what) };
    }

}

Common::Result<Organisations> Organisations::make(std::vector<OrganisationEntry> entries, std::uint64_t seed)
{
    Organisations made;
    made.m_seed = seed;
    std::sort(entries.begin(), entries.end(), [](const auto& a, const auto& b) { return a.organisation.name < b.organisation.name; });
    std::size_t keys = 0;
    for (const auto& entry : entries)
        keys += entry.keys.size();
    made.m_slots.resize(static_cast<std::size_t>(static_cast<double>(keys) / maxUsedShare) + 1);
    for (const auto& entry : entries) {
        const auto& name = entry.organisation.name;
        if (!isVisibleText(name))
            return invalid(Net::excerpt(name), "its name can't be sent in a header, expected 1 to 256 visible ASCII characters");
        made.m_organisations.push_back(entry.organisation);
        for (const auto& key : entry.keys) {
            if (!isVisibleText(key))
                return invalid(name, fmt::format("an API key has {} bytes or characters that are not visible ASCII, expected 1 to {} visible ones", key.size(), maxKeyBytes));
            auto digest = Common::digest(key, seed);
            auto& slot = made.m_slots[made.slotOf(digest)];
            if (slot.organisation != 0)
                return invalid(name, fmt::format("an API key is listed twice, here and for organisation '{}'", made.m_organisations[slot.organisation - 1].name));
            slot = { .low = digest.low, .middle = middleBits(digest), .organisation = static_cast<std::uint32_t>(made.m_organisations.size()) };
            ++made.m_keyCount;
        }
    }
    return made;
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
