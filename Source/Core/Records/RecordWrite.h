#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <thread>

#include "Common/Clock.h"
#include "Platform/Platform.h"
#include "Records/RecordChange.h"
#include "Records/RecordStore.h"

namespace Records {

// What an operator asks for.
struct WriteRequest {
    ChangeKind kind = ChangeKind::Put;
    std::string service;
    std::uint64_t expect = 0; // Replace and Retire: the revision the operator has seen
    std::string by;
    std::vector<std::string> forms; // none for Retire
};

enum class WriteState {
    Applied, // in the store, once
    Conflict, // not applied, never will be: the record is not as the operator expected
    NotFound, // not applied, never will be: no record to replace or retire
    Unavailable, // not applied, never will be: the store could not be read, or others were first until the limit
    Unsettled, // it may have been applied or may yet be
};

struct WriteAnswer {
    WriteState state = WriteState::Unavailable;
    std::uint64_t revision = 0; // Applied: of the change; Unsettled: the one it has if it was applied
    std::string nonce;
    std::optional<RecordChange> found; // Conflict and NotFound: the record's latest change, by whomever
    std::string text; // the last error of the store
};

struct RecordWriteOptions {
    Common::Hooks hooks;
    std::function<std::int64_t()> wallMs = Common::wallMilliseconds;
    std::function<void(Common::Duration)> sleep = [](Common::Duration duration) { std::this_thread::sleep_for(duration); };
    Common::Duration limit = std::chrono::seconds(30); // for retries, from the first step
    Common::Duration firstBackOff = std::chrono::milliseconds(50);
    Common::Duration maxBackOff = std::chrono::seconds(2);
};

// One write of a record as a sequence of exchanges with the table, so that a caller decides how to wait between them.
class RecordWrite {
public:
    RecordWrite(RecordWriteOptions, Platform::Table, WriteRequest);

    // Does the next exchange; returns how long to wait before the next one, nothing when answer() is final.
    std::optional<Common::Duration> step();
    const WriteAnswer& answer() const { return m_answer; }

private:
    enum class Phase {
        Read,
        Commit,
        Settle,
    };
    using Wait = std::optional<Common::Duration>;

    Wait read();
    Wait commit();
    Wait settle();
    Wait settleTrimmed();
    // Refuses a request that does not fit the record found; true when it did.
    bool refuse(const std::optional<RecordChange>& found);
    void prepare(const Head&, const RecordRow&);
    Wait finish(WriteState);
    // Waits before `phase`, or ends the write at its limit.
    Wait backOff(Phase, const std::string& text);

    RecordWriteOptions m_options;
    Platform::Table m_table;
    WriteRequest m_request;
    WriteAnswer m_answer;
    RecordChange m_change;
    Platform::Transaction m_transaction;
    Phase m_phase = Phase::Read;
    bool m_mayStand = false; // a copy of the transaction was sent and its answer lost
    int m_tries = 0;
    std::optional<Common::TimePoint> m_deadline;
};

// Runs a write to its end on the calling thread.
WriteAnswer writeRecord(const RecordWriteOptions&, const Platform::Table&, const WriteRequest&);

}
