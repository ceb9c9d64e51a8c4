#include "Controllers/RecordController.h"

#include <charconv>

namespace Controllers {

namespace {

    constexpr auto headKey = "records/head";
    constexpr auto servicePrefix = "records/services/";

    std::uint64_t toRevision(const std::string& text)
    {
        std::uint64_t revision = 0;
        std::from_chars(text.data(), text.data() + text.size(), revision);
        return revision;
    }

}

RecordController::RecordController(Platform::Table table, Common::EventLog& log)
    : m_table(std::move(table))
    , m_log(log)
{
}

Common::Result<bool> RecordController::poll()
{
    auto head = m_table.get(headKey);
    if (!head)
        return head.error();
    auto revision = toRevision(head.value().value);
    if (revision <= current()->revision)
        return false;
    auto rows = m_table.scan({ .prefix = servicePrefix, .after = {} });
    if (!rows)
        return rows.error();
    auto next = std::make_shared<Records::RecordSet>();
    next->revision = revision;
    for (const auto& row : rows.value()) {
        std::vector<Common::FileError> errors;
        auto record = Records::parseServiceRecord(row.value, row.key, errors);
        if (!record) {
            m_log.log(Common::EventId::RecordRejected, { { "key", row.key }, { "error", Common::describe(errors.front()) } });
            continue;
        }
        next->services[record->service] = std::make_shared<const Records::ServiceRecord>(*record);
    }
    m_records.set(next);
    m_log.log(Common::EventId::RecordApplied, { { "revision", std::to_string(revision) }, { "services", std::to_string(next->services.size()) } });
    return true;
}

}
