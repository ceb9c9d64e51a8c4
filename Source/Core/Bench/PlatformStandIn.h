#pragma once

#include <map>
#include <mutex>
#include <vector>

#include "Bench/StandInServer.h"
#include "Platform/Platform.h"

namespace Bench {

// The platform's published HTTP interface, in memory.
class PlatformStandIn {
public:
    PlatformStandIn();

    std::string address() const { return m_server.address(); }
    void setInstances(std::vector<Platform::Instance>);
    Platform::TransactionAnswer commit(const Platform::Transaction&);

private:
    void handle(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&);
    void handleTable(const std::string& path, Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&);
    void handleObject(const std::string& key, Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&);

    std::mutex m_mutex;
    std::map<std::string, Platform::Row> m_rows;
    std::map<std::string, Platform::Object> m_objects;
    std::vector<Platform::Instance> m_instances;
    std::uint64_t m_lastVersion = 0;
    StandInServer m_server; // last: it must not serve before or after the state's life
};

}
