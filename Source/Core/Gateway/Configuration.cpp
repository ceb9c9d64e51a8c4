#include "Gateway/Configuration.h"

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

}
