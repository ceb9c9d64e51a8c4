#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "Records/RecordChange.h"

namespace Decisions {

enum class ApplyState {
    Applied,
    Ignored, // not newer than what is held
    Gap, // changes in between are missing
};

// The latest change of every service as one entry holds it, from whatever source. It only moves forward by revision.
class RecordLog {
public:
    explicit RecordLog(std::size_t recentChanges = 512)
        : m_recentLimit(recentChanges)
    {
    }

    ApplyState apply(const Records::RecordChange&);
    ApplyState apply(const Records::RecordImage&);
    ApplyState apply(const Records::RecordUpdate&);

    // Every change up to this one is held.
    std::uint64_t revision() const { return m_revision; }
    const std::map<std::string, Records::RecordChange>& records() const { return m_records; }
    // What a holder of `since` lacks: changes while they are still held, else an image; empty when it lacks nothing.
    Records::RecordUpdate updateSince(std::uint64_t since) const;
    Records::RecordImage image() const;

private:
    void keep(const Records::RecordChange&);

    std::size_t m_recentLimit;
    std::uint64_t m_revision = 0;
    std::map<std::string, Records::RecordChange> m_records;
    std::deque<Records::RecordChange> m_recent; // without gaps, the last is of m_revision
};

}
