// The unary calls of the etcd v3 JSON gateway, on top of an in-memory store.

#ifndef STANDINS_ETCD_GATEWAY_H_
#define STANDINS_ETCD_GATEWAY_H_

#include <nlohmann/json.hpp>
#include <string>

#include "base/time.h"
#include "keyvalue/memory_store.h"

namespace hickoryloft::standins {

// Kind of a call, for the counts in /record and for faults that affect writes.
enum class CallKind {
  kGet,
  kPrefix,
  kSwap,
  kLease,
  kWatch,
  kHosts,
  kUnknown,
};

// Returns the kind of a call to `path` with `body`. Thread-safe.
CallKind KindOf(const std::string& path, const nlohmann::json& body);
std::string ToString(CallKind kind);

// Executes the call. Throws Error(kNotFound) for a missing lease and
// Error(kProtocol) for a path or body that is not supported.
nlohmann::json CallGateway(keyvalue::MemoryStore& store,
                           const std::string& path,
                           const nlohmann::json& body,
                           MonotonicTime now);

// Returns the "header" object that every response contains.
nlohmann::json GatewayHeader(const keyvalue::MemoryStore& store);

}  // namespace hickoryloft::standins

#endif  // STANDINS_ETCD_GATEWAY_H_
