#include "Bench/RecordSeed.h"

#include <fmt/format.h>

#include "Common/NameTable.h"
#include "Records/RecordWrite.h"

namespace Bench {

std::string recordText(const Deployment& deployment, const ServiceShape& service, const SeedOptions& options, int edition, int schema)
{
    constexpr int baseDeadlineMs = 10000;
    auto text = fmt::format("schema = {0}\nservice = \"{1}\"\npool = \"{1}\"\npolicy = \"{2}\"\n", schema, service.name, options.policy);
    if (schema == futureSchema)
        return text + "unheard_of = true\n";
    auto goal = options.goal.empty() ? std::string(Common::nameOf(Records::goalNames, deployment.goal)) : options.goal;
    auto isFirst = schema == 1;
    if (isFirst)
        text += fmt::format("slots = {}\nconnections = 300\nprobe_budget = {:.1f}\ngoal = \"{}\"\n", service.slots, service.probeBudget, goal);
    else
        text += fmt::format("\n[probe]\nbudget = {:.1f}\ngoal = \"{}\"\n\n[limits]\nslots = {}\nconnections = 300\n", service.probeBudget, goal, service.slots);
    for (const auto& call : service.calls) {
        auto hedge = isFirst ? fmt::format("hedge = {}\n", !call.never) : std::string(call.never ? "" : "hedge_quantile = 0.95\n");
        text += fmt::format("\n[[rules]]\nmethod = \"{}\"\npath = \"{}\"\nrepeat = \"{}\"\nclaim = \"{}\"\ndeadline_ms = {}\n{}",
            call.method, call.path, call.never ? "never" : "safe", call.claim ? "table" : "none", baseDeadlineMs + edition, hedge);
    }
    return text;
}

RecordSeed::RecordSeed(Platform::Table table, const Deployment& deployment, SeedOptions options)
    : m_table(std::move(table))
    , m_deployment(deployment)
    , m_options(std::move(options))
{
}

std::uint64_t RecordSeed::write(const std::vector<int>& schemas)
{
    std::uint64_t last = 0;
    for (const auto& service : m_deployment.services)
        last = write(service, schemas);
    return last;
}

std::uint64_t RecordSeed::write(const ServiceShape& service, const std::vector<int>& schemas)
{
    std::vector<std::string> forms;
    for (auto schema : schemas.empty() ? std::vector<int> { 1 } : schemas)
        forms.push_back(recordText(m_deployment, service, m_options, m_edition, schema));
    ++m_edition;
    auto& revision = m_revisions[service.name];
    auto kind = revision == 0 ? Records::ChangeKind::Put : Records::ChangeKind::Replace;
    Records::WriteRequest request { .kind = kind, .service = service.name, .expect = revision, .by = "bench", .forms = forms };
    auto answer = Records::writeRecord({ .hooks = Common::systemHooks() }, m_table, request);
    if (answer.state != Records::WriteState::Applied)
        return 0;
    revision = answer.revision;
    return revision;
}

}
