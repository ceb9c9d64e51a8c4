#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "Common/TomlReader.h"

namespace Settings {

// An address as ip:port; any other text is added to the reader's errors.
std::string readAddress(Common::TomlReader&, std::string_view key, const std::optional<std::string>& fallback = {});

}
