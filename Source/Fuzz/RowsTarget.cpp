#include "Gateway/ForwardedRequest.h"
#include "Gateway/RelayMessages.h"
#include "Targets.h"
#include "platform/Rows.h"

namespace Fuzz {

namespace {

    void checkUpdateRequest(const std::string& input)
    {
        auto request = Gateway::parseUpdateRequest(input);
        if (!request)
            return;
        auto text = Gateway::toText(request.value());
        auto again = Gateway::parseUpdateRequest(text);
        require(again.has_value(), "accepted update request is refused when written again");
        require(Gateway::toText(again.value()) == text, "update request is not read back as written");
        require(again.value().member == request.value().member && again.value().position == request.value().position
                && again.value().crashes == request.value().crashes && again.value().relayList.relays == request.value().relayList.relays,
            "update request's member, position, crashes or relays are not read back as written");
    }

    void checkUpdateResponse(const std::string& input)
    {
        auto response = Gateway::parseUpdateResponse(input);
        if (!response)
            return;
        auto textOf = [](const Gateway::UpdateResponse& it) { return Gateway::toText(it, Gateway::encodeRows(it.catalog.rows)); };
        auto text = textOf(response.value());
        auto again = Gateway::parseUpdateResponse(text);
        require(again.has_value(), "accepted update response is refused when written again");
        require(textOf(again.value()) == text, "update response is not read back as written");
        // Only a relay's response has more than the relay list.
        const auto& members = response.value().members;
        require(!response.value().isRelay || (again.value().members.members == members.members && again.value().members.departed == members.departed && again.value().members.remoteTargets == members.remoteTargets && again.value().crashes == response.value().crashes),
            "update response's members or crashes are not read back as written");
    }

    void checkLists(const std::string& input)
    {
        if (auto list = Gateway::parseRelayList(input, 1, 1)) {
            auto again = Gateway::parseRelayList(Gateway::toText(list.value()), 1, 1);
            require(again.has_value() && again.value().relays == list.value().relays, "relay list is not read back as written");
        }
        if (auto crashes = Gateway::parseCrashReports(input)) {
            auto again = Gateway::parseCrashReports(Gateway::toText(crashes.value()));
            require(again.has_value() && again.value() == crashes.value(), "crash reports are not read back as written");
        }
    }

    void checkForwardedRequest(const std::string& input)
    {
        auto request = Gateway::parseForwardedRequest(input);
        if (!request)
            return;
        auto text = Gateway::toHeaderValue(*request);
        auto again = Gateway::parseForwardedRequest(text);
        require(again.has_value(), "accepted forwarded request is refused when written again");
        require(Gateway::toHeaderValue(*again) == text && again->service == request->service && again->route.name == request->route.name
                && again->route.goal == request->route.goal && again->route.priority == request->route.priority,
            "forwarded request is not read back as written");
    }

    void checkOrganisations(const Gateway::Organisations& organisations)
    {
        for (const auto& organisation : organisations.all()) {
            require(organisations.named(organisation.name) == &organisation, "accepted organisation is not found by its name");
            require(organisation.ratePerSecond >= 0 && organisation.burst >= 0 && organisation.hasAllowance() == (organisation.ratePerSecond > 0),
                "accepted organisation has a negative rate or burst, or an allowance without a rate");
        }
        for (const auto* text : { "", " ", "\t" })
            require(!organisations.find(text), "a blank key belongs to an organisation");
    }

}

// Invariants: no exception leaves a parser, and what a relay message's parser accepts is read back as it is written. Rows of the store
// have no writer.
void runRows(const std::string& input)
{
    checkUpdateRequest(input);
    checkUpdateResponse(input);
    checkLists(input);
    checkForwardedRequest(input);
    auto server = PlatformAdapter::parseServer("server-1", input);
    require(!server || (!server.value().service.empty() && server.value().slots >= 0), "accepted server has no service or a negative number of slots");
    auto configuration = PlatformAdapter::parseConfiguration(input);
    require(configuration.has_value() == PlatformAdapter::readConfiguration(input, 1).isUsable(), "a gateway and the check disagree whether a configuration can be used");
    require(!configuration || configuration.value().limits.readTimeout >= Common::Duration::zero(), "accepted configuration has a negative time limit");
    if (configuration)
        checkOrganisations(configuration.value().organisations);
}

}
