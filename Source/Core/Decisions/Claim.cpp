#include "Decisions/Claim.h"

#include <algorithm>
#include <string_view>

namespace Decisions {

namespace {

    constexpr std::string_view heldPrefix = "held ";
    constexpr std::string_view freePrefix = "free ";

}

Claim::Claim(const std::string& nonce)
    : m_heldValue(std::string(heldPrefix) + nonce)
    , m_freeValue(std::string(freePrefix) + nonce)
{
}

ClaimStep Claim::next() const
{
    if (m_verdict != ClaimVerdict::Pending)
        return { .kind = ClaimStepKind::Done, .value = {} };
    if (!m_rowKnown)
        return { .kind = ClaimStepKind::Read, .value = {} };
    // On release, writing the free row on the same version makes a claiming write that is still in progress fail.
    return { .kind = ClaimStepKind::Write, .version = m_row.version, .value = m_releasing ? m_freeValue : m_heldValue };
}

void Claim::onRow(const ClaimRow& row)
{
    m_row = row;
    m_rowKnown = true;
    if (m_releasing) {
        if (!isOurs(row) && !mayStillCommit(row.version))
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
    m_rowKnown = false;
    if (!m_releasing && m_lostVersions.empty())
        m_verdict = ClaimVerdict::StoreDown;
}

void Claim::onWrite(ClaimWriteResult result)
{
    m_rowKnown = false;
    if (result == ClaimWriteResult::Committed)
        m_verdict = m_releasing ? ClaimVerdict::NotHeld : ClaimVerdict::Held;
    else if (result == ClaimWriteResult::Lost)
        m_lostVersions.push_back(m_row.version);
}

void Claim::release()
{
    if (m_verdict == ClaimVerdict::Taken || m_verdict == ClaimVerdict::StoreDown)
        return;
    auto nothingWritten = m_verdict == ClaimVerdict::Pending && m_lostVersions.empty();
    m_releasing = true;
    m_rowKnown = false;
    m_verdict = nothingWritten ? ClaimVerdict::NotHeld : ClaimVerdict::Pending;
}

bool Claim::isOurs(const ClaimRow& row) const
{
    return row.version != 0 && row.value == m_heldValue;
}

bool Claim::mayStillCommit(std::uint64_t version) const
{
    return std::find(m_lostVersions.begin(), m_lostVersions.end(), version) != m_lostVersions.end();
}

}
