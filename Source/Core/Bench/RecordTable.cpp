#include "Bench/RecordTable.h"

#include "Common/Clock.h"
#include "Records/RecordStore.h"

namespace Bench {

Platform::Transaction seedTransaction(std::uint64_t lastRevision, const std::vector<SeededRecord>& records)
{
    Platform::Transaction all;
    for (const auto& record : records) {
        Records::RecordChange change {
            .revision = ++lastRevision,
            .previous = 0,
            .kind = Records::ChangeKind::Put,
            .service = record.service,
            .by = "bench",
            .nonce = "seed-" + std::to_string(lastRevision),
            .wallMs = Common::wallMilliseconds(),
            .forms = record.forms,
        };
        auto one = Records::changeTransaction({}, {}, change);
        all.writes.insert(all.writes.end(), one.writes.begin(), one.writes.end());
    }
    return all;
}

}
