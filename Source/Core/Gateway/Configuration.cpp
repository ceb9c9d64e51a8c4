#include "Gateway/Configuration.h"

#include <algorithm>

#include <fmt/format.h>

namespace Gateway {

const Route* Configuration::find(std::string_view host, std::string_view path) const
{
    auto name = host.substr(0, host.find(':'));
    const Route* best = nullptr;
    for (const auto& route : routes) {
        if (path.starts_with(route.prefix) && Net::equalsIgnoringCase(route.host, name) && (!best || route.prefix.size() > best->prefix.size()))
            best = &route;
    }
    return best;
}

namespace {

    bool isOfConfiguration(const ConfigurationError& error)
    {
        return error.scope == ErrorScope::Configuration;
    }

}

bool ConfigurationReading::isUsable() const
{
    return std::none_of(errors.begin(), errors.end(), isOfConfiguration);
}

std::string ConfigurationReading::errorText() const
{
    if (errors.empty())
        return {};
    auto it = std::find_if(errors.begin(), errors.end(), isOfConfiguration);
    const auto& error = it == errors.end() ? errors.front() : *it;
    auto text = error.entry.empty() ? error.text : error.entry + ": " + error.text;
    if (errors.size() > 1)
        text += fmt::format("; {} more in this configuration", errors.size() - 1);
    return text;
}

}
