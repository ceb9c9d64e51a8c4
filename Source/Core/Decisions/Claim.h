#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Decisions {

// A claim's row as read; version 0 means absent.
struct ClaimRow {
    std::string value;
    std::uint64_t version = 0;
};

enum class ClaimStepKind {
    Read,
    Write, // `value`, under the condition that the row has `version`
    Done,
};

struct ClaimStep {
    ClaimStepKind kind = ClaimStepKind::Done;
    std::uint64_t version = 0;
    std::string value;
};

// How a conditional write ended.
enum class ClaimWriteEnd {
    Committed,
    Conflict, // took no effect and will not
    Lost, // may have taken effect, or may yet
};

enum class ClaimVerdict {
    Pending,
    Held, // the row is ours: the request may be sent
    Taken, // the row is another's: the request must not be sent
    NotHeld, // no write of ours stands or can take effect any more
    StoreDown, // the store could not be read, and nothing was written
};

// One claim of one request id: a row that only one holder can get. The row is never deleted, only handed back as free: an
// absent row would let a write that is still under way take effect later. Versions of a row never repeat.
class Claim {
public:
    // `nonce` must be unique to this claim.
    explicit Claim(const std::string& nonce);

    // What to do next; its end is told by one of the two calls below.
    ClaimStep next() const;
    void onRow(const ClaimRow&);
    void onReadFailed();
    void onWrite(ClaimWriteEnd);

    // The request is not to be sent, or provably did not run: from now on towards NotHeld.
    void release();

    ClaimVerdict verdict() const { return m_verdict; }

private:
    bool isOurs(const ClaimRow&) const;
    bool mayStillLand(std::uint64_t version) const;

    std::string m_held; // values of our row
    std::string m_free;
    ClaimVerdict m_verdict = ClaimVerdict::Pending;
    bool m_releasing = false;
    bool m_known = false; // m_row is the latest we know
    ClaimRow m_row;
    std::vector<std::uint64_t> m_lost; // conditions of writes whose end is not known
};

}
