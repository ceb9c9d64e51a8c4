#include "Decisions/RecordLog.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace {

using Decisions::ApplyResult;
using Decisions::RecordLog;
using Records::RecordChange;
using Records::RecordImage;

// The change of revision r is to service r modulo 3.
RecordChange changeOf(std::uint64_t revision)
{
    auto previous = revision > 3 ? revision - 3 : 0;
    return { .revision = revision, .previous = previous, .service = "s" + std::to_string(revision % 3), .by = "ana", .nonce = std::to_string(revision), .forms = {} };
}

// An image at `revision` whose record of service s2 was read later, at revision `later`.
RecordImage imageOf(std::uint64_t revision, std::uint64_t later)
{
    RecordImage image { .revision = revision, .records = {}, .unreadable = {} };
    for (std::uint64_t service = 0; service < 3; ++service) {
        auto at = service == 2 ? later : revision;
        while (at > 0 && at % 3 != service)
            --at;
        if (at > 0)
            image.records.push_back(changeOf(at));
    }
    return image;
}

}

TEST_CASE("a record newer than the image's revision is not overwritten by the changes in between")
{
    RecordLog log;
    CHECK(log.apply(imageOf(1, 5)) == ApplyResult::Applied);
    CHECK(log.records().at("s2").revision == 5);
    CHECK(log.apply(changeOf(2)) == ApplyResult::Applied);
    CHECK(log.records().at("s2").revision == 5);
    CHECK(log.apply(changeOf(4)) == ApplyResult::Gap);
    CHECK(log.apply(changeOf(1)) == ApplyResult::Ignored);
    CHECK(log.revision() == 2);
}

TEST_CASE("changes and images applied in any order never move a record back")
{
    constexpr std::uint64_t last = 30;
    CHECK(rc::check([&] {
        RecordLog log(8);
        std::map<std::string, std::uint64_t> before;
        auto steps = *rc::gen::container<std::vector<std::uint64_t>>(rc::gen::inRange<std::uint64_t>(1, last + 1));
        for (auto revision : steps) {
            auto held = log.revision();
            if (revision % 5 == 0)
                log.apply(imageOf(revision, std::min(last, revision + 7)));
            else
                log.apply(changeOf(revision % 2 == 0 ? held + 1 : revision));
            RC_ASSERT(log.revision() >= held);
            for (const auto& [service, record] : log.records())
                RC_ASSERT(record.revision >= before[service]);
            for (const auto& [service, record] : log.records())
                before[service] = record.revision;
        }
        // Its update brings another log from any older revision to the same one.
        for (std::uint64_t since = 0; since <= log.revision(); ++since) {
            RecordLog other;
            if (since > 0)
                other.apply(imageOf(since, since));
            other.apply(log.updateSince(since));
            RC_ASSERT(other.revision() == log.revision());
            RC_ASSERT(other.records().size() >= log.records().size());
        }
    }));
}
