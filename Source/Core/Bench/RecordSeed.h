#pragma once

#include <map>
#include <string>
#include <vector>

#include "Bench/Deployment.h"
#include "Platform/Platform.h"

namespace Bench {

struct SeedOptions {
    std::string policy = "adaptive";
    std::string goal; // empty: the deployment's
};

// A form of a schema that no entry understands yet.
inline constexpr int futureSchema = 99;

// The record file of one service as an operator would write it; `edition` varies it without a change of behaviour.
std::string recordText(const Deployment&, const ServiceShape&, const SeedOptions&, int edition = 0, int schema = 1);

// Writes a deployment's records as an operator would: put first, replaced later. The only place in the bench that does.
class RecordSeed {
public:
    RecordSeed(Platform::Table, const Deployment&, SeedOptions);

    // Returns the last change's revision; 0 when the store did not take it.
    std::uint64_t write(const std::vector<int>& schemas = {});
    // Writes one more edition of one service's record.
    std::uint64_t write(const ServiceShape&, const std::vector<int>& schemas);

private:
    Platform::Table m_table;
    const Deployment& m_deployment;
    SeedOptions m_options;
    std::map<std::string, std::uint64_t> m_revisions; // by service
    int m_edition = 0;
};

}
