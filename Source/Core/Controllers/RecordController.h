#pragma once

#include <memory>

#include "Common/EventLog.h"
#include "Common/Snapshot.h"
#include "Platform/Platform.h"
#include "Records/ServiceRecord.h"

namespace Controllers {

// The records in force at this entry; they only move forward by revision.
class RecordController {
public:
    RecordController(Platform::Table, Common::EventLog&);

    // Reads the store; true when a newer revision came into force. Errors: StoreUnavailable, StoreProtocol.
    Common::Result<bool> poll();
    std::shared_ptr<const Records::RecordSet> current() const { return m_records.get(); }

private:
    Platform::Table m_table;
    Common::EventLog& m_log;
    Common::Snapshot<Records::RecordSet> m_records;
};

}
