#include "Decisions/Claim.h"

#include <algorithm>
#include <string_view>

namespace Decisions {

namespace {

    constexpr std::string_view heldPrefix = "held ";
    constexpr std::string_view freePrefix = "free ";

}

Claim::Claim(const std::string& nonce)
    : m_held(std::string(heldPrefix) + nonce)
    , m_free(std::string(freePrefix) + nonce)
{
}

ClaimStep Claim::next() const
{
    if (m_verdict != ClaimVerdict::Pending)
        return { .kind = ClaimStepKind::Done, .value = {} };
    if (!m_known)
        return { .kind = ClaimStepKind::Read, .value = {} };
    // Releasing, a free row written under the same version keeps a write that is still under way from taking effect.
    return { .kind = ClaimStepKind::Write, .version = m_row.version, .value = m_releasing ? m_free : m_held };
}

void Claim::onRow(const ClaimRow& row)
{
    m_row = row;
    m_known = true;
    if (m_releasing) {
        if (!isOurs(row) && !mayStillLand(row.version))
            m_verdict = ClaimVerdict::NotHeld;
        return;
    }
    if (isOurs(row))
        m_verdict = ClaimVerdict::Held;
    else if (row.version != 0 && !row.value.starts_with(freePrefix))
        m_verdict = ClaimVerdict::Taken;
}

void Claim::onReadFailed()
{
    m_known = false;
    if (!m_releasing && m_lost.empty())
        m_verdict = ClaimVerdict::StoreDown;
}

void Claim::onWrite(ClaimWriteEnd end)
{
    m_known = false;
    if (end == ClaimWriteEnd::Committed)
        m_verdict = m_releasing ? ClaimVerdict::NotHeld : ClaimVerdict::Held;
    else if (end == ClaimWriteEnd::Lost)
        m_lost.push_back(m_row.version);
}

void Claim::release()
{
    if (m_verdict == ClaimVerdict::Taken || m_verdict == ClaimVerdict::StoreDown)
        return;
    auto nothingWritten = m_verdict == ClaimVerdict::Pending && m_lost.empty();
    m_releasing = true;
    m_known = false;
    m_verdict = nothingWritten ? ClaimVerdict::NotHeld : ClaimVerdict::Pending;
}

bool Claim::isOurs(const ClaimRow& row) const
{
    return row.version != 0 && row.value == m_held;
}

bool Claim::mayStillLand(std::uint64_t version) const
{
    return std::find(m_lost.begin(), m_lost.end(), version) != m_lost.end();
}

}
