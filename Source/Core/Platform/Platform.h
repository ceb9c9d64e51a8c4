#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Common/Result.h"

namespace Platform {

// One row of the platform's transactional table.
struct Row {
    std::string key;
    std::string value;
    std::uint64_t version = 0; // 0: absent
};

// Holds when the row has this version; 0 means absent.
struct Condition {
    std::string key;
    std::uint64_t version = 0;
};

struct Write {
    std::string key;
    std::optional<std::string> value; // nothing deletes the row
};

// All writes take effect together when all conditions hold, else none.
struct Transaction {
    std::vector<Condition> conditions;
    std::vector<Write> writes;
};

struct TransactionAnswer {
    bool committed = false;
    std::vector<Condition> found; // where not committed: the versions found at the conditions' keys
};

struct Range {
    std::string prefix;
    std::string after; // keys greater than this
    int limit = 500;
};

// The transactional table. An error of code StoreUnavailable on commit() leaves open whether the writes took effect.
struct Table {
    std::function<Common::Result<Row>(const std::string& key)> get;
    std::function<Common::Result<std::vector<Row>>(const Range&)> scan;
    std::function<Common::Result<TransactionAnswer>(const Transaction&)> commit;
};

struct Object {
    std::string bytes;
    std::string etag;
};

// The object store; put() replaces only an object of the given ETag ("" means absent) and returns the new one.
struct Objects {
    std::function<Common::Result<std::optional<Object>>(const std::string& key)> get;
    std::function<Common::Result<std::string>(const std::string& key, const std::string& bytes, const std::string& etag)> put;
};

enum class InstanceKind {
    Entry,
    Backend,
};

struct Instance {
    std::string address; // ip:port
    InstanceKind kind = InstanceKind::Backend;
    std::string pool; // backend servers only
    std::string failureDomain;
    bool leaving = false;
    std::string peerAddress; // entries only
};

// The platform's list of live and leaving instances, late by seconds.
using ListInstances = std::function<Common::Result<std::vector<Instance>>()>;

// Everything the platform gives, as hooks: an adapter fills them, a test fakes them.
struct Services {
    Table table;
    Objects objects;
    ListInstances instances;
};

}
