#include "Common/TomlReader.h"

#include <filesystem>
#include <fstream>
#include <sstream>

#include <fmt/format.h>

namespace Common {

std::string describe(const FileError& error)
{
    auto text = error.file;
    if (error.line > 0)
        text += fmt::format(":{}", error.line);
    if (!error.key.empty())
        text += fmt::format(": {}", error.key);
    return text + ": " + error.text;
}

std::optional<toml::table> parseToml(const std::string& text, const std::string& file, std::vector<FileError>& errors)
{
    try {
        return toml::parse(text, file);
    } catch (const toml::parse_error& ec) {
        errors.push_back({ .file = file, .line = static_cast<int>(ec.source().begin.line), .key = {}, .text = std::string(ec.description()) });
        return std::nullopt;
    }
}

std::int64_t modifiedAt(const std::string& path)
{
    std::error_code ec;
    auto time = std::filesystem::last_write_time(path, ec);
    return ec ? 0 : time.time_since_epoch().count();
}

std::optional<std::string> readFile(const std::string& path, std::vector<FileError>& errors)
{
    std::ifstream in(path, std::ios::binary);
    std::ostringstream buf;
    if (!in || !(buf << in.rdbuf())) {
        errors.push_back({ .file = path, .line = 0, .key = {}, .text = "cannot be read" });
        return std::nullopt;
    }
    return buf.str();
}

TomlReader::TomlReader(const toml::table& table, std::string file, std::string path, std::vector<FileError>& errors)
    : m_table(table)
    , m_file(std::move(file))
    , m_path(std::move(path))
    , m_errors(errors)
{
}

template <typename T>
std::optional<T> TomlReader::read(std::string_view key, bool required, const char* expected)
{
    const auto* node = find(key, required, expected);
    if (!node)
        return std::nullopt;
    if (auto value = node->value_exact<T>())
        return *value;
    fail(key, fmt::format("expected {}", expected));
    return std::nullopt;
}

std::string TomlReader::string(std::string_view key, const std::optional<std::string>& fallback)
{
    return read<std::string>(key, !fallback, "a string").value_or(fallback.value_or(""));
}

std::int64_t TomlReader::integer(std::string_view key, std::int64_t low, std::int64_t high, std::optional<std::int64_t> fallback)
{
    auto value = read<std::int64_t>(key, !fallback, "an integer").value_or(fallback.value_or(low));
    if (value < low || value > high)
        fail(key, fmt::format("{} is out of range, expected {} to {}", value, low, high));
    return value;
}

double TomlReader::number(std::string_view key, double low, double high, std::optional<double> fallback)
{
    const auto* node = find(key, !fallback, "a number");
    if (!node)
        return fallback.value_or(low);
    if (!node->is_number()) {
        fail(key, "expected a number");
        return fallback.value_or(low);
    }
    auto value = node->value<double>().value_or(low);
    if (!(value >= low && value <= high))
        fail(key, fmt::format("{} is out of range, expected {} to {}", value, low, high));
    return value;
}

bool TomlReader::boolean(std::string_view key, std::optional<bool> fallback)
{
    return read<bool>(key, !fallback, "true or false").value_or(fallback.value_or(false));
}

std::vector<std::string> TomlReader::strings(std::string_view key, const std::optional<std::vector<std::string>>& fallback)
{
    const auto* node = find(key, !fallback, "an array of strings");
    if (!node)
        return fallback.value_or(std::vector<std::string> {});
    std::vector<std::string> values;
    const auto* array = node->as_array();
    if (!array || !array->is_homogeneous(toml::node_type::string)) {
        if (!array || !array->empty())
            fail(key, "expected an array of strings");
        return values;
    }
    for (const auto& item : *array)
        values.push_back(item.value_or(std::string()));
    return values;
}

bool TomlReader::has(std::string_view key) const
{
    return m_table.contains(key);
}

const toml::table* TomlReader::table(std::string_view key)
{
    const auto* node = find(key, false, "a table");
    if (node && !node->is_table())
        fail(key, "expected a table");
    return node ? node->as_table() : nullptr;
}

std::vector<const toml::table*> TomlReader::tables(std::string_view key)
{
    std::vector<const toml::table*> found;
    const auto* node = find(key, false, "an array of tables");
    if (!node)
        return found;
    const auto* array = node->as_array();
    if (!array || (!array->empty() && !array->is_homogeneous(toml::node_type::table))) {
        fail(key, "expected an array of tables");
        return found;
    }
    for (const auto& item : *array)
        found.push_back(item.as_table());
    return found;
}

void TomlReader::fail(std::string_view key, const std::string& text)
{
    const auto* node = m_table.get(key);
    const auto& source = node ? node->source() : m_table.source();
    m_errors.push_back({ .file = m_file, .line = static_cast<int>(source.begin.line), .key = pathOf(key), .text = text });
}

void TomlReader::finish()
{
    for (const auto& [key, node] : m_table) {
        if (!m_known.contains(key.str()))
            fail(key.str(), "unknown key");
    }
}

std::string TomlReader::pathOf(std::string_view key) const
{
    return m_path.empty() ? std::string(key) : m_path + "." + std::string(key);
}

const toml::node* TomlReader::find(std::string_view key, bool required, const char* expected)
{
    m_known.emplace(key);
    const auto* node = m_table.get(key);
    if (!node && required)
        fail(key, fmt::format("missing, expected {}", expected));
    return node;
}

}
