#include <doctest/doctest.h>

#include "Bench/PlatformStandIn.h"
#include "Entry/Daemon.h"
#include "Operator/ExitCode.h"
#include "Operator/RecordCommands.h"
#include "Platform/HttpPlatform.h"

TEST_CASE("a record put through the platform's HTTP interface comes into force on a running entry")
{
    Bench::PlatformStandIn stand;
    auto platform = Platform::httpPlatform({ .address = stand.address() });
    Settings::EntrySettings settings {
        .address = "127.0.0.1:0",
        .peerAddress = "127.0.0.1:0",
        .failureDomain = "a",
        .platformAddress = stand.address(),
        .sharedKey = "0123456789abcdef",
        .logFormat = Common::LogFormat::Off,
        .limits = {},
    };
    Entry::Daemon entry(settings, platform, Common::systemHooks());
    REQUIRE(entry.start());
    stand.setInstances({ { .address = entry.address(), .kind = Platform::InstanceKind::Entry, .pool = {}, .failureDomain = "a", .peerAddress = {} } });
    std::string err;
    Operator::RecordContext context {
        .platform = platform,
        .write = { .hooks = Common::systemHooks() },
        .out = [](const std::string&) {},
        .err = [&](const std::string& text) { err += text; },
        .by = "ana",
    };
    auto ok = Operator::toInt(Operator::ExitCode::Ok);
    std::vector<Common::FileError> errors;
    std::vector<Records::RecordFile> forms;
    for (const auto* name : { "puzzle.schema1.toml", "puzzle.schema2.toml" })
        forms.push_back({ .name = name, .text = Common::readFile(std::string(DOCS_DIR) + "/examples/" + name, errors).value_or("") });
    CHECK(Operator::putRecord(context, forms) == ok);
    constexpr auto patience = std::chrono::seconds(60);
    CHECK(Operator::waitForRevision(context, 1, patience) == ok);
    CHECK(entry.records().current()->services.at("puzzle")->schema == Records::newestSchema);
    CHECK(Operator::retireRecord(context, "puzzle", 1) == ok);
    CHECK(Operator::waitForRevision(context, 2, patience) == ok);
    CHECK(entry.records().current()->services.empty());
    CHECK(Operator::waitForRevision(context, 3, std::chrono::milliseconds(1)) == Operator::toInt(Operator::ExitCode::NotInForce));
    CHECK(err.find("is at revision 2") != std::string::npos);
    entry.kill();
}
