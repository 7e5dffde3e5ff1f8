// The operations that a placement shard returns for its owner to carry out.

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

// Identifies a record in the key-value service. The name is that of a model, an
// endpoint (ledger) or a service (store).
struct RecordName {
  RecordKind m_kind = RecordKind::kModel;
  std::string m_name;

  friend bool operator==(const RecordName&, const RecordName&) = default;
  friend bool operator<(const RecordName& left, const RecordName& right) {
    return std::tie(left.m_kind, left.m_name) <
           std::tie(right.m_kind, right.m_name);
  }
};

// Writes the record if its revision is the expected one (0: absent). An empty
// value deletes it. Reply with Shard::OnRecord() or Shard::OnRecordFailed().
struct SwapRecord {
  RecordName m_record;
  Revision m_expected = 0;
  std::string m_value;
};

// Reads the record. Reply with Shard::OnRecord() or Shard::OnRecordFailed().
struct ReadRecord {
  RecordName m_record;
};

// Reads all records. Repeat the read until it succeeds, then reply with
// Shard::OnRecovered().
struct ReadAllRecords {};

// Sends the order to the engine. Reply with Shard::OnOrderReply().
struct SendOrder {
  EndpointId m_endpoint;
  endpoint::Order m_order;
};

// Raises the endpoint's fence. Reply with Shard::OnFenceRaised().
struct RaiseFence {
  EndpointId m_endpoint;
  std::string m_scope;
  FencingNumber m_fence = 0;
};

// Requests the engine's inventory. Reply with Shard::OnInventory().
struct FetchInventory {
  EndpointId m_endpoint;
};

// Answers a demand. Returned exactly once for each.
struct AnswerDemand {
  DemandAnswer m_answer;
};

// Asks the claim holder of another shard to unload an idle replica. Reply with
// Shard::OnReleaseReply().
struct RequestReplicaRelease {
  ReplicaKey m_replica;
  double m_value = 0;  // Worth of the load that needs the memory.
};

using Effect = std::variant<SwapRecord,
                            ReadRecord,
                            ReadAllRecords,
                            SendOrder,
                            RaiseFence,
                            FetchInventory,
                            AnswerDemand,
                            RequestReplicaRelease>;
using Effects = std::vector<Effect>;

}  // namespace hickoryloft::placement

#endif  // SOURCE_PLACEMENT_EFFECTS_H_
