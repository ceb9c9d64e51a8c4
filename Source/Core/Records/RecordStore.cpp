#include "Records/RecordStore.h"

#include <charconv>

#include <fmt/format.h>

namespace Records {

namespace {

    using Common::Error;
    using Common::Result;
    using Common::ResultCode;

    constexpr auto servicePrefix = "records/services/";
    constexpr auto changePrefix = "records/changes/";

    Error malformed(const std::string& key)
    {
        return { ResultCode::StoreProtocol, fmt::format("row {} is not of the records' layout", key) };
    }

    // Calls use(row) for every row of a prefix after a key, page by page.
    template <typename Use>
    Result<void> scanAll(const Platform::Table& table, const std::string& prefix, std::string after, Use use)
    {
        const Platform::Range page { .prefix = prefix, .after = std::move(after) };
        auto range = page;
        while (true) {
            auto rows = table.scan(range);
            if (!rows)
                return rows.error();
            for (const auto& row : rows.value())
                use(row);
            if (rows.value().size() < static_cast<std::size_t>(range.limit))
                return boost::outcome_v2::success();
            range.after = rows.value().back().key;
        }
    }

    std::optional<std::uint64_t> parseHead(const std::string& text)
    {
        constexpr std::string_view start = R"({"revision":)";
        if (!text.starts_with(start) || !text.ends_with('}'))
            return std::nullopt;
        std::uint64_t revision = 0;
        const auto* end = text.data() + text.size() - 1;
        auto [rest, ec] = std::from_chars(text.data() + start.size(), end, revision);
        return ec == std::errc() && rest == end ? std::optional(revision) : std::nullopt;
    }

}

std::string recordKey(const std::string& service)
{
    return servicePrefix + service;
}

std::string changeKey(std::uint64_t revision)
{
    return fmt::format("{}{:020}", changePrefix, revision);
}

Result<Head> readHead(const Platform::Table& table)
{
    auto row = table.get(headKey);
    if (!row)
        return row.error();
    if (row.value().version == 0)
        return Head {};
    auto revision = parseHead(row.value().value);
    if (!revision)
        return malformed(headKey);
    return Head { .revision = *revision, .rowVersion = row.value().version };
}

Result<RecordRow> readRecord(const Platform::Table& table, const std::string& service)
{
    auto row = table.get(recordKey(service));
    if (!row)
        return row.error();
    if (row.value().version == 0)
        return RecordRow {};
    auto change = decodeChange(row.value().value);
    if (!change || change->service != service)
        return malformed(row.value().key);
    return RecordRow { .change = std::move(change), .rowVersion = row.value().version };
}

Result<std::optional<RecordChange>> readChange(const Platform::Table& table, std::uint64_t revision)
{
    auto row = table.get(changeKey(revision));
    if (!row)
        return row.error();
    if (row.value().version == 0)
        return std::optional<RecordChange>();
    auto change = decodeChange(row.value().value);
    if (!change || change->revision != revision)
        return malformed(row.value().key);
    return change;
}

Result<std::optional<std::vector<RecordChange>>> readChanges(const Platform::Table& table, std::uint64_t since)
{
    std::optional<std::vector<RecordChange>> changes(std::in_place);
    auto scanned = scanAll(table, changePrefix, changeKey(since), [&](const Platform::Row& row) {
        auto change = decodeChange(row.value);
        auto expected = since + 1 + (changes ? changes->size() : 0);
        if (changes && change && change->revision == expected)
            changes->push_back(std::move(*change));
        else
            changes.reset();
    });
    if (!scanned)
        return scanned.error();
    return changes;
}

Result<std::vector<RecordChange>> readHistory(const Platform::Table& table)
{
    std::vector<RecordChange> changes;
    auto scanned = scanAll(table, changePrefix, "", [&](const Platform::Row& row) {
        if (auto change = decodeChange(row.value))
            changes.push_back(std::move(*change));
    });
    if (!scanned)
        return scanned.error();
    return changes;
}

Result<RecordImage> readImage(const Platform::Table& table)
{
    auto head = readHead(table);
    if (!head)
        return head.error();
    RecordImage image { .revision = head.value().revision, .records = {}, .unreadable = {} };
    auto scanned = scanAll(table, servicePrefix, "", [&](const Platform::Row& row) {
        auto change = decodeChange(row.value);
        if (change && recordKey(change->service) == row.key)
            image.records.push_back(std::move(*change));
        else
            image.unreadable.push_back(row.key);
    });
    if (!scanned)
        return scanned.error();
    return image;
}

Platform::Transaction changeTransaction(const Head& head, const RecordRow& record, const RecordChange& change)
{
    auto text = encodeChange(change);
    Platform::Transaction transaction {
        .conditions = { { headKey, head.rowVersion }, { recordKey(change.service), record.rowVersion } },
        .writes = {
            { headKey, fmt::format(R"({{"revision":{}}})", change.revision) },
            { recordKey(change.service), text },
            { changeKey(change.revision), text },
        },
    };
    // Revisions have no gaps, so that one deletion a change keeps the log bounded.
    if (change.revision > keptChanges)
        transaction.writes.push_back({ changeKey(change.revision - keptChanges), std::nullopt });
    return transaction;
}

}
