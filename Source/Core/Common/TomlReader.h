#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <toml++/toml.h>

#include "Common/NameTable.h"

namespace Common {

// An error in a TOML file, with its location.
struct FileError {
    std::string file;
    int line = 0; // from 1; 0 if the error concerns the whole file
    std::string key; // dotted path; empty if the error concerns no key
    std::string text; // what was found and what was expected
};

// "file:line: key: text"
std::string describe(const FileError&);

// Parses a file's text; a syntax error is added to `errors`.
std::optional<toml::table> parseToml(const std::string& text, const std::string& file, std::vector<FileError>& errors);

// Reads a whole file; a missing or unreadable one is added to `errors`.
std::optional<std::string> readFile(const std::string& path, std::vector<FileError>& errors);

// Modification time of a file in nanoseconds of the file system clock; 0 if it can't be read. Only for comparison.
std::int64_t modifiedAt(const std::string& path);

// Reads typed, range-checked values from one table and collects all errors. finish() reports keys that were never read.
class TomlReader {
public:
    TomlReader(const toml::table&, std::string file, std::string path, std::vector<FileError>&);

    // Reads a value. An absent key gives `fallback`, or an error if there is no fallback.
    std::string string(std::string_view key, const std::optional<std::string>& fallback = {});
    std::int64_t integer(std::string_view key, std::int64_t low, std::int64_t high, std::optional<std::int64_t> fallback = {});
    double number(std::string_view key, double low, double high, std::optional<double> fallback = {});
    bool boolean(std::string_view key, std::optional<bool> fallback = {});
    std::vector<std::string> strings(std::string_view key, const std::optional<std::vector<std::string>>& fallback = {});

    template <typename Enum, std::size_t size>
    Enum name(std::string_view key, const std::array<EnumName<Enum>, size>& table, std::optional<Enum> fallback = {})
    {
        if (!has(key) && fallback)
            return *fallback;
        auto text = string(key);
        if (auto value = valueOf(table, text))
            return *value;
        if (has(key))
            fail(key, "expected one of " + namesOf(table));
        return table.front().value;
    }

    bool has(std::string_view key) const;
    // A nested table; null if the key is absent or has another type. The latter adds an error.
    const toml::table* table(std::string_view key);
    // An array of tables; empty if the key is absent or has another type. The latter adds an error.
    std::vector<const toml::table*> tables(std::string_view key);

    // Adds an error for a key of this table.
    void fail(std::string_view key, const std::string& text);
    // Adds an error for each key that was never read.
    void finish();
    std::string pathOf(std::string_view key) const;

private:
    const toml::node* find(std::string_view key, bool required, const char* expected);
    template <typename T>
    std::optional<T> read(std::string_view key, bool required, const char* expected);

    const toml::table& m_table;
    std::string m_file;
    std::string m_path;
    std::vector<FileError>& m_errors;
    std::set<std::string, std::less<>> m_known;
};

}
