#pragma once

#include <memory>
#include <mutex>

#include "Common/EventLog.h"
#include "Common/Snapshot.h"
#include "Decisions/RecordLog.h"
#include "Platform/Platform.h"
#include "Records/ServiceRecord.h"

namespace Controllers {

// The records in force at this entry; they only move forward by revision, whatever the source.
class RecordController {
public:
    RecordController(Platform::Table, Common::EventLog&, int newestSchema = Records::newestSchema);

    // Reads the store; true when a newer revision came into force. Errors: StoreUnavailable, StoreProtocol.
    Common::Result<bool> poll();
    // Takes what another entry sent; Gap: it is newer, but changes in between are missing.
    Decisions::ApplyResult offer(const Records::RecordUpdate&);
    // What an entry that holds `since` lacks.
    Records::RecordUpdate updateSince(std::uint64_t since) const;
    // All that is held, for the snapshot object.
    Records::RecordImage image() const;
    std::shared_ptr<const Records::RecordSet> current() const { return m_records.get(); }

private:
    Common::Result<Records::RecordUpdate> readStore() const;
    // The records in force after the log moved; the caller holds the lock.
    void publish();
    void publishRecord(Records::RecordSet&, const Records::RecordChange&);

    Platform::Table m_table;
    Common::EventLog& m_log;
    int m_newestSchema;
    mutable std::mutex m_mutex; // guards m_held and the order of publications
    Decisions::RecordLog m_held;
    std::map<std::string, std::uint64_t> m_published; // service -> revision last read
    Common::Snapshot<Records::RecordSet> m_records;
};

}
