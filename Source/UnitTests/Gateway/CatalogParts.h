#pragma once

#include "Gateway/Catalog.h"

namespace UnitTests {

// The catalog of one gateway and what it needs. The time stands still.
struct CatalogParts {
    explicit CatalogParts(Gateway::CatalogDecoder decoder)
        : loop({ .now = [] { return Common::TimePoint(std::chrono::hours(2)); }, .random = [] { return std::uint64_t(0); } })
        , log({ .process = "test", .format = Common::LogFormat::Off })
        , backends(loop, log, {})
        , peers(loop, members, {})
        , router(loop, log, backends, peers, {})
        , catalog(loop, log, backends, router, { .decoder = std::move(decoder) })
    {
    }

    Net::EventLoop loop;
    Common::EventLog log;
    Gateway::Backends backends;
    Gateway::Members members { {} };
    Gateway::PeerGateways peers;
    Gateway::RequestRouter router;
    Gateway::Catalog catalog;
};

}
