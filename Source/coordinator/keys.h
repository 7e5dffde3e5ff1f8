// Keys in the key-value service.

#ifndef SOURCE_COORDINATOR_KEYS_H_
#define SOURCE_COORDINATOR_KEYS_H_

#include <cstdint>
#include <string>

#include "base/ids.h"
#include "keyvalue/key_value_service.h"

namespace hickoryloft::coordinator {

inline const std::string kMembersPrefix = "/hickoryloft/members/";
inline const std::string kLongLeasePrefix = "/hickoryloft/standing/";
inline const std::string kClaimsPrefix = "/hickoryloft/claims/";
inline const std::string kDocumentsPrefix = "/hickoryloft/documents/";
// Matches the keys of the documents and of the manifest.
inline const std::string kDocumentsWatchPrefix = "/hickoryloft/documents";
inline const std::string kManifestKey = "/hickoryloft/documents-manifest";

// Each run of a host has its own member key, so that a restarted host neither
// waits for the lease of its previous run nor interferes with it.
inline std::string MemberKey(const HostId& host, Incarnation incarnation) {
  return kMembersPrefix + host.value() + "/" + std::to_string(incarnation);
}

// Returns the key bound to a host's long lease. It contains the lease ID, since
// a host whose long lease has expired is no longer the successor named by
// earlier claim records.
inline std::string LongLeaseKey(const HostId& host, keyvalue::LeaseId lease) {
  return kLongLeasePrefix + host.value() + "/" + std::to_string(lease);
}

inline std::string ClaimKey(const std::string& claim) {
  return kClaimsPrefix + claim;
}

inline std::string DocumentKey(const ServiceId& service) {
  return kDocumentsPrefix + service.value();
}

}  // namespace hickoryloft::coordinator

#endif  // SOURCE_COORDINATOR_KEYS_H_
