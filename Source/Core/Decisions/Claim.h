#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Decisions {

// A claim's row as read from the store; version 0 means absent.
struct ClaimRow {
    std::string value;
    std::uint64_t version = 0;
};

enum class ClaimStepKind {
    Read,
    Write, // writes `value` on condition that the row still has `version`
    Done,
};

struct ClaimStep {
    ClaimStepKind kind = ClaimStepKind::Done;
    std::uint64_t version = 0;
    std::string value;
};

// Result of a conditional write.
enum class ClaimWriteResult {
    Committed,
    Conflict, // has not taken effect and never will
    Lost, // no answer: the write may have taken effect or may still do so
};

enum class ClaimVerdict {
    Pending,
    Held, // this claim holds the row: the request may be sent
    Taken, // another claim holds the row: the request must not be sent
    NotHeld, // this claim does not hold the row, and none of its writes can still take effect
    StoreDown, // the store could not be read, and nothing was written
};

// State machine that claims one request id: an exclusive lock, held as a row in the store. The row is never deleted but
// marked as free on release: if it were absent, a write that is still in progress could take effect later. Versions of a row
// never repeat.
class Claim {
public:
    // `nonce` must be unique to this claim.
    explicit Claim(const std::string& nonce);

    // The next step. Its result is reported by onRow() or onReadFailed() after a read and by onWrite() after a write.
    ClaimStep next() const;
    void onRow(const ClaimRow&);
    void onReadFailed();
    void onWrite(ClaimWriteResult);

    // Gives the claim up because the request will not be sent or provably did not run; further steps lead to NotHeld.
    void release();

    ClaimVerdict verdict() const { return m_verdict; }

private:
    bool isOurs(const ClaimRow&) const;
    bool mayStillCommit(std::uint64_t version) const;

    std::string m_heldValue; // of the row while this claim holds it
    std::string m_freeValue; // of the row when this claim has released it
    ClaimVerdict m_verdict = ClaimVerdict::Pending;
    bool m_releasing = false;
    bool m_rowKnown = false; // m_row has been read since the last write, failed read or release
    ClaimRow m_row;
    std::vector<std::uint64_t> m_lostVersions; // expected versions of the writes whose result is not known
};

}
