#pragma once

#include <array>
#include <optional>
#include <string>
#include <vector>

#include "Common/Clock.h"
#include "Common/NameTable.h"
#include "Gateway/Configuration.h"

namespace Operator {

enum class FindingLevel {
    Error, // gateways can't use the configuration, or a part of it, which they leave out
    Warning, // gateways accept it, but a part has no effect or contradicts another
};

inline constexpr std::array findingLevelNames {
    Common::EnumName<FindingLevel> { FindingLevel::Error, "error" },
    Common::EnumName<FindingLevel> { FindingLevel::Warning, "warning" },
};

// An entry is named as in Gateway::ConfigurationError.
struct Finding {
    FindingLevel level = FindingLevel::Error;
    std::string entry;
    std::string text;

    bool operator==(const Finding&) const = default;
};

enum class EntryChange {
    Added,
    Removed,
    Changed,
};

inline constexpr std::array entryChangeNames {
    Common::EnumName<EntryChange> { EntryChange::Added, "added" },
    Common::EnumName<EntryChange> { EntryChange::Removed, "removed" },
    Common::EnumName<EntryChange> { EntryChange::Changed, "changed" },
};

struct FieldDifference {
    std::string field;
    std::optional<std::string> before; // empty: absent, as are all fields of an added entry
    std::optional<std::string> after;

    bool operator==(const FieldDifference&) const = default;
};

struct EntryDifference {
    std::string entry;
    EntryChange change = EntryChange::Changed;
    std::vector<FieldDifference> fields;

    bool operator==(const EntryDifference&) const = default;
};

// The settings of gateways that a configuration is checked against.
struct CheckBounds {
    Common::Duration allowanceWindow = std::chrono::seconds(5);
};

// Warnings for a configuration that gateways accept: entries that can never match, and limits that contradict each other.
std::vector<Finding> checkConfiguration(const Gateway::Configuration&, const Gateway::ConfigurationNames&, const CheckBounds&);

// An error if `after` is not newer: gateways never go back, and ignore a configuration of the version that they have.
std::vector<Finding> checkVersion(const Gateway::Configuration& before, const Gateway::Configuration& after, const Gateway::ConfigurationNames&);

// Differences but that of the versions, by entry. API keys are counted, so both must have been read with the same seed.
std::vector<EntryDifference> compareConfigurations(const Gateway::Configuration& before, const Gateway::Configuration& after, const Gateway::ConfigurationNames&);

// As operators write it.
std::string versionText(std::uint64_t version);

}
