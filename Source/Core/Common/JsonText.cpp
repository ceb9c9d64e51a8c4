#include "Common/JsonText.h"

#include <memory>

#include <fmt/format.h>

namespace Common {

namespace {

    struct SyntaxError {
        std::string place; // "line 3, column 7"; empty if the library does not tell
        std::string reason;
    };

    // The first error of the library's list: "* Line 3, Column 7\n  Missing ',' or '}' in object declaration\n…".
    SyntaxError firstSyntaxError(std::string_view list)
    {
        constexpr std::string_view bullet = "* Line ";
        constexpr std::string_view column = ", Column ";
        constexpr std::string_view indentation = "  ";
        auto lineEnd = list.find('\n');
        auto columnBegin = list.find(column);
        if (!list.starts_with(bullet) || lineEnd == std::string_view::npos || columnBegin > lineEnd)
            return { .place = {}, .reason = "the syntax is wrong" };
        auto line = list.substr(bullet.size(), columnBegin - bullet.size());
        auto columnNumber = list.substr(columnBegin + column.size(), lineEnd - columnBegin - column.size());
        auto reason = list.substr(lineEnd + 1);
        reason = reason.substr(0, reason.find('\n'));
        reason.remove_prefix(reason.starts_with(indentation) ? indentation.size() : 0);
        // The only reason that quotes the input.
        if (reason.find("is not a number") != std::string_view::npos)
            reason = "a value is not a number";
        return { .place = fmt::format("line {}, column {}", line, columnNumber), .reason = std::string(reason) };
    }

    std::optional<Json::Value> parseJson(std::string_view text, SyntaxError& error, bool rejectsRepeatedNames = false)
    {
        Json::CharReaderBuilder builder;
        builder["collectComments"] = false;
        builder["allowComments"] = false;
        builder["failIfExtra"] = true;
        builder["rejectDupKeys"] = rejectsRepeatedNames;
        std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
        Json::Value json;
        std::string list;
        try {
            if (!reader->parse(text.data(), text.data() + text.size(), &json, &list)) {
                error = firstSyntaxError(list);
                return std::nullopt;
            }
        } catch (const Json::Exception&) {
            error.reason = "a value is nested too deeply"; // beyond the library's limit, which it reports only so
            return std::nullopt;
        }
        return json;
    }

}

std::string jsonText(const Json::Value& json)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, json);
}

std::string jsonBytes(const Json::Value& json)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["emitUTF8"] = true; // else the library replaces what is no UTF-8 by U+FFFD
    return Json::writeString(builder, json);
}

std::optional<Json::Value> parseJsonObject(std::string_view text)
{
    SyntaxError error;
    auto json = parseJson(text, error);
    if (json && !json->isObject())
        json.reset();
    return json;
}

Result<Json::Value> readJsonObject(std::string_view bytes)
{
    SyntaxError error;
    auto json = parseJson(bytes, error);
    if (json && json->isObject())
        return *std::move(json);
    auto text = std::string("expected a JSON object");
    if (!json)
        text += fmt::format(", found an error{}{}: {}", error.place.empty() ? "" : " at ", error.place, error.reason);
    return Error { .code = ResultCode::StoreProtocol, .text = text };
}

std::string repeatedNamePlace(std::string_view text)
{
    SyntaxError error;
    return parseJson(text, error, true) ? std::string() : error.place;
}

std::optional<Json::Value> parseJsonArray(std::string_view text)
{
    SyntaxError error;
    auto json = parseJson(text, error);
    if (json && !json->isArray())
        json.reset();
    return json;
}

}
