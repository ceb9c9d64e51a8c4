#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Common/Result.h"

namespace Platform {

// A row of the platform's transactional table.
struct Row {
    std::string key;
    std::string value;
    std::uint64_t version = 0; // 0: the row does not exist
};

// Holds if the row has this version; 0 means that the row does not exist.
struct Condition {
    std::string key;
    std::uint64_t version = 0;
};

struct Write {
    std::string key;
    std::optional<std::string> value; // empty: delete the row
};

// Atomic: if all conditions hold, all writes take effect together, otherwise none.
struct Transaction {
    std::vector<Condition> conditions;
    std::vector<Write> writes;
};

struct TransactionResult {
    bool committed = false;
    std::vector<Condition> found; // if not committed: the current versions of the conditions' keys
};

struct Range {
    std::string prefix;
    std::string after; // only keys greater than this
    int limit = 500; // rows
};

// The transactional table. If commit() fails with StoreUnavailable, the writes may or may not have taken effect.
struct Table {
    std::function<Common::Result<Row>(const std::string& key)> get;
    std::function<Common::Result<std::vector<Row>>(const Range&)> scan;
    std::function<Common::Result<TransactionResult>(const Transaction&)> commit;
};

struct Object {
    std::string bytes;
    std::string etag;
};

// The object store. put() replaces the object only if it has the given ETag ("": it does not exist yet), and returns the new
// ETag.
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

// Returns the platform's list of live and leaving instances, which may be seconds out of date.
using ListInstances = std::function<Common::Result<std::vector<Instance>>()>;

// The platform's services as callbacks: an adapter implements them, tests use fakes.
struct Services {
    Table table;
    Objects objects;
    ListInstances instances;
};

}
