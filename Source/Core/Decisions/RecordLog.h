#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "Records/RecordChange.h"

namespace Decisions {

enum class ApplyResult {
    Applied,
    Ignored, // not newer than the held revision
    Gap, // changes between the held revision and this one are missing
};

// The latest change of every service that one entry holds, whichever source it came from. Revisions never go back.
class RecordLog {
public:
    explicit RecordLog(std::size_t maxRecentChanges = 512)
        : m_maxRecentChanges(maxRecentChanges)
    {
    }

    ApplyResult apply(const Records::RecordChange&);
    ApplyResult apply(const Records::RecordImage&);
    ApplyResult apply(const Records::RecordUpdate&);

    // Every change up to this revision has been applied.
    std::uint64_t revision() const { return m_revision; }
    const std::map<std::string, Records::RecordChange>& records() const { return m_records; }
    // What an entry at revision `since` lacks: the changes if they are all still kept, else an image. Empty when it lacks
    // nothing.
    Records::RecordUpdate updateSince(std::uint64_t since) const;
    Records::RecordImage image() const;

private:
    void store(const Records::RecordChange&);

    std::size_t m_maxRecentChanges;
    std::uint64_t m_revision = 0;
    std::map<std::string, Records::RecordChange> m_records;
    std::deque<Records::RecordChange> m_recentChanges; // without gaps; the last one is m_revision
};

}
