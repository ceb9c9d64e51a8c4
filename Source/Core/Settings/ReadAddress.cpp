#include "Settings/ReadAddress.h"

#include "Common/Address.h"

namespace Settings {

std::string readAddress(Common::TomlReader& reader, std::string_view key, const std::optional<std::string>& fallback)
{
    auto text = reader.string(key, fallback);
    if (reader.has(key) && !Common::isAddress(text))
        reader.fail(key, "expected an address as ip:port");
    return text;
}

}
