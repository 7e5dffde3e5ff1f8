// What a placement shard asks its owner to carry out.

#ifndef SOURCE_PLACEMENT_EFFECTS_H_
#define SOURCE_PLACEMENT_EFFECTS_H_

#include <cstdint>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include "endpoint/orders.h"
#include "placement/types.h"

namespace hickoryloft::placement {

enum class RecordKind { kModel, kLedger, kStore };

// Names one record in the key-value service: a model, an endpoint or a service.
struct RecordName {
  RecordKind m_kind = RecordKind::kModel;
  std::string m_name;

  friend bool operator==(const RecordName&, const RecordName&) = default;
  friend bool operator<(const RecordName& left, const RecordName& right) {
    return std::tie(left.m_kind, left.m_name) <
           std::tie(right.m_kind, right.m_name);
  }
};

// Write the record if its revision is the expected one (0: absent). An empty
// value deletes it. Answer with Shard::OnSwap() or Shard::OnRecordFailed().
struct SwapRecord {
  RecordName m_record;
  Revision m_expected = 0;
  std::string m_value;
};

// Read the record. Answer with Shard::OnRead() or Shard::OnRecordFailed().
struct ReadRecord {
  RecordName m_record;
};

// Read all records of models and ledgers. Answer with Shard::OnRecovered(), and
// repeat the read until it succeeds.
struct ReadAllRecords {};

// Give the order. Answer with Shard::OnOrderReply().
struct SendOrder {
  EndpointId m_endpoint;
  endpoint::Order m_order;
};

// Raise the endpoint's fence. Answer with Shard::OnFenceRaised().
struct RaiseFence {
  EndpointId m_endpoint;
  std::string m_scope;
  FencingNumber m_fence = 0;
};

// Read the inventory now. Answer with Shard::OnInventory().
struct FetchInventory {
  EndpointId m_endpoint;
};

// Answer a demand. Given once for each.
struct AnswerDemand {
  DemandAnswer m_answer;
};

// Ask the holder of another shard to release an idle replica. Answer with
// Shard::OnReleaseAnswered().
struct AskRelease {
  ReplicaKey m_replica;
  double m_value = 0;  // Of the load that needs the room.
};

using Effect = std::variant<SwapRecord,
                            ReadRecord,
                            ReadAllRecords,
                            SendOrder,
                            RaiseFence,
                            FetchInventory,
                            AnswerDemand,
                            AskRelease>;
using Effects = std::vector<Effect>;

}  // namespace hickoryloft::placement

#endif  // SOURCE_PLACEMENT_EFFECTS_H_
