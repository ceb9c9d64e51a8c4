#include "Records/RecordForms.h"

#include <map>

#include <fmt/format.h>

namespace Records {

namespace {

    using Common::FileError;

    // The schema a form states; nothing when the text is not TOML or states none.
    std::optional<int> schemaOf(const std::string& text)
    {
        std::vector<FileError> errors;
        auto table = Common::parseToml(text, "", errors);
        return table ? (*table)["schema"].value<int>() : std::nullopt;
    }

}

FormChoice chooseForm(const std::vector<std::string>& forms, const std::string& service, int newestUnderstood)
{
    FormChoice choice;
    const std::string* newest = nullptr;
    int newestFound = 0;
    for (const auto& form : forms) {
        auto schema = schemaOf(form);
        if (schema && *schema > newestFound && *schema <= newestUnderstood) {
            newest = &form;
            newestFound = *schema;
        }
    }
    if (!newest)
        return choice;
    choice.understood = true;
    choice.record = parseServiceRecord(*newest, fmt::format("{} (schema {})", service, newestFound), choice.errors);
    if (choice.record && choice.record->service != service) {
        choice.errors.push_back({ .file = service, .line = 0, .key = "service", .text = fmt::format("names \"{}\"", choice.record->service) });
        choice.record.reset();
    }
    return choice;
}

std::optional<std::string> checkForms(const std::vector<RecordFile>& files, std::vector<FileError>& errors)
{
    auto errorsBefore = errors.size();
    std::optional<std::string> service;
    std::map<int, std::string> fileOfSchema;
    for (const auto& file : files) {
        auto record = parseServiceRecord(file.text, file.name, errors);
        if (!record)
            continue;
        if (!service)
            service = record->service;
        if (*service != record->service)
            errors.push_back({ .file = file.name, .line = 0, .key = "service", .text = fmt::format("\"{}\" differs from \"{}\" of the other forms", record->service, *service) });
        auto [it, isNew] = fileOfSchema.emplace(record->schema, file.name);
        if (!isNew)
            errors.push_back({ .file = file.name, .line = 0, .key = "schema", .text = fmt::format("{} also has a form of schema {}", it->second, record->schema) });
    }
    return errors.size() > errorsBefore ? std::nullopt : service;
}

}
