// The replicas of one model that the placement has decided on.

#ifndef SOURCE_PLACEMENT_MODEL_RECORD_H_
#define SOURCE_PLACEMENT_MODEL_RECORD_H_

#include <set>
#include <string>
#include <tuple>

#include "base/ids.h"

namespace hickoryloft::placement {

// One decided replica of a base model.
struct DecidedReplica {
  EndpointId m_endpoint;
  std::string m_version;

  friend bool operator==(const DecidedReplica&,
                         const DecidedReplica&) = default;
  friend bool operator<(const DecidedReplica& left,
                        const DecidedReplica& right) {
    return std::tie(left.m_endpoint, left.m_version) <
           std::tie(right.m_endpoint, right.m_version);
  }
};

// Value type; not thread-safe.
struct ModelRecord {
  std::set<DecidedReplica> m_replicas;

  std::string ToJson() const;
  // Parses `text`; an empty text is a record without replicas. Throws
  // Error(kProtocol) if the text is malformed.
  static ModelRecord FromJson(const std::string& text);

  friend bool operator==(const ModelRecord&, const ModelRecord&) = default;
};

}  // namespace hickoryloft::placement

#endif  // SOURCE_PLACEMENT_MODEL_RECORD_H_
