// The etcd v3 JSON gateway's unary calls over an in-memory store.

#ifndef STANDINS_ETCD_GATEWAY_H_
#define STANDINS_ETCD_GATEWAY_H_

#include <nlohmann/json.hpp>
#include <string>

#include "base/time.h"
#include "keyvalue/memory_store.h"

namespace hickoryloft::standins {

// What a call does, for the record and for faults on writes.
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

// Carries out the call. Throws Error(kNotFound) for a missing lease and
// Error(kProtocol) for a body outside the gateway's interface.
nlohmann::json CallGateway(keyvalue::MemoryStore& store,
                           const std::string& path,
                           const nlohmann::json& body,
                           MonotonicTime now);

// Returns the header that every answer carries.
nlohmann::json GatewayHeader(const keyvalue::MemoryStore& store);

}  // namespace hickoryloft::standins

#endif  // STANDINS_ETCD_GATEWAY_H_
