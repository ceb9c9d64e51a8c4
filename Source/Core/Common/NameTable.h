#pragma once

#include <algorithm>
#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace Common {

// Row of a table that maps enum values to names.
template <typename Enum>
struct EnumName {
    Enum value;
    std::string_view name;
};

// Name of a value; "?" if the table does not contain it.
template <typename Enum, std::size_t size>
constexpr std::string_view nameOf(const std::array<EnumName<Enum>, size>& table, Enum value)
{
    auto it = std::find_if(table.begin(), table.end(), [&](const auto& row) { return row.value == value; });
    return it == table.end() ? std::string_view("?") : it->name;
}

// Value with the given name; nullopt if the table does not contain it.
template <typename Enum, std::size_t size>
constexpr std::optional<Enum> valueOf(const std::array<EnumName<Enum>, size>& table, std::string_view name)
{
    auto it = std::find_if(table.begin(), table.end(), [&](const auto& row) { return row.name == name; });
    return it == table.end() ? std::nullopt : std::optional<Enum>(it->value);
}

// All names as "a, b, c", for error messages.
template <typename Enum, std::size_t size>
std::string namesOf(const std::array<EnumName<Enum>, size>& table)
{
    std::string text;
    for (const auto& row : table)
        text += (text.empty() ? "" : ", ") + std::string(row.name);
    return text;
}

}
