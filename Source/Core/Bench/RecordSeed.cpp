#include "Bench/RecordSeed.h"

#include <fmt/format.h>

#include "Common/NameTable.h"
#include "Records/RecordWrite.h"

namespace Bench {

std::string recordText(const Deployment& deployment, const ServiceShape& service, const SeedOptions& options, int edition)
{
    constexpr int baseDeadlineMs = 10000;
    auto goal = options.goal.empty() ? std::string(Common::nameOf(Records::goalNames, deployment.goal)) : options.goal;
    auto text = fmt::format("schema = 1\nservice = \"{0}\"\npool = \"{0}\"\nslots = {1}\nconnections = 300\nprobe_budget = {2:.1f}\ngoal = \"{3}\"\npolicy = \"{4}\"\n",
        service.name, service.slots, service.probeBudget, goal, options.policy);
    for (const auto& call : service.calls) {
        text += fmt::format("\n[[rules]]\nmethod = \"{}\"\npath = \"{}\"\nrepeat = \"{}\"\nclaim = \"{}\"\nhedge = {}\ndeadline_ms = {}\n",
            call.method, call.path, call.never ? "never" : "safe", call.claim ? "table" : "none", !call.never, baseDeadlineMs + edition);
    }
    return text;
}

RecordSeed::RecordSeed(Platform::Table table, const Deployment& deployment, SeedOptions options)
    : m_table(std::move(table))
    , m_deployment(deployment)
    , m_options(std::move(options))
{
}

std::uint64_t RecordSeed::write()
{
    std::uint64_t last = 0;
    for (const auto& service : m_deployment.services)
        last = write(service);
    return last;
}

std::uint64_t RecordSeed::write(const ServiceShape& service)
{
    auto& revision = m_revisions[service.name];
    auto kind = revision == 0 ? Records::ChangeKind::Put : Records::ChangeKind::Replace;
    Records::WriteRequest request { .kind = kind, .service = service.name, .expect = revision, .by = "bench", .forms = { recordText(m_deployment, service, m_options, m_edition++) } };
    auto answer = Records::writeRecord({ .hooks = Common::systemHooks() }, m_table, request);
    if (answer.state != Records::WriteState::Applied)
        return 0;
    revision = answer.revision;
    return revision;
}

}
