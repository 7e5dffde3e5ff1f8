// Names of keys in the key-value service.

#ifndef SOURCE_COORDINATOR_KEYS_H_
#define SOURCE_COORDINATOR_KEYS_H_

#include <cstdint>
#include <string>

#include "base/ids.h"
#include "keyvalue/key_value_service.h"

namespace hickoryloft::coordinator {

inline const std::string kMembersPrefix = "/hickoryloft/members/";
inline const std::string kStandingPrefix = "/hickoryloft/standing/";
inline const std::string kClaimsPrefix = "/hickoryloft/claims/";
inline const std::string kDocumentsPrefix = "/hickoryloft/documents/";
// Also covers the manifest's key.
inline const std::string kDocumentsWatchPrefix = "/hickoryloft/documents";
inline const std::string kManifestKey = "/hickoryloft/documents-manifest";

// Each run of a host has its own member key, so that a restarted host neither
// waits for nor disturbs the lease of its predecessor.
inline std::string MemberKey(const HostId& host, Incarnation incarnation) {
  return kMembersPrefix + host.value() + "/" + std::to_string(incarnation);
}

// Named by the long lease: a host whose long lease lapsed is no longer the
// successor that it was.
inline std::string StandingKey(const HostId& host, keyvalue::LeaseId lease) {
  return kStandingPrefix + host.value() + "/" + std::to_string(lease);
}

inline std::string ClaimKey(const std::string& claim) {
  return kClaimsPrefix + claim;
}

inline std::string DocumentKey(const ServiceId& service) {
  return kDocumentsPrefix + service.value();
}

}  // namespace hickoryloft::coordinator

#endif  // SOURCE_COORDINATOR_KEYS_H_
