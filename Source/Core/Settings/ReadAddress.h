#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "Common/TomlReader.h"

namespace Settings {

// Reads an address as ip:port. Adds an error to the reader if the text has another form.
std::string readAddress(Common::TomlReader&, std::string_view key, const std::optional<std::string>& fallback = {});

}
