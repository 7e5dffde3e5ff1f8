// Simulates placement shards with their claim holders, a key-value service and
// engines. The messages between them may be lost, duplicated, delayed or
// reordered.

#ifndef TESTS_PLACEMENT_PLACEMENT_WORLD_H_
#define TESTS_PLACEMENT_PLACEMENT_WORLD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "placement/shard.h"

namespace hickoryloft::placement {

constexpr std::uint64_t kModelBytes = 40;
constexpr std::uint64_t kModelPeakBytes = 50;
constexpr std::uint64_t kAdapterBytes = 5;
constexpr std::uint64_t kEngineBytes = 100;
constexpr std::size_t kShards = 2;
constexpr std::size_t kModelsPerShard = 3;

// Returns the model at `index` of `shard`.
ModelId ModelAt(std::size_t shard, std::size_t index);

// An engine that carries out each order number at most once between restarts.
struct FakeEngine {
  struct Item {
    ArtifactPhase m_phase = ArtifactPhase::kLoading;
    std::uint64_t m_bytes = 0;
    std::uint64_t m_peak_bytes = 0;
    std::uint64_t m_order_number = 0;
    MonotonicTime m_ready_at{};
  };

  // Carries out the order unless it is fenced or a duplicate.
  endpoint::OrderReply Execute(const endpoint::Order& order, MonotonicTime now);
  void Advance(MonotonicTime now);
  std::uint64_t UsedBytes() const;
  endpoint::InventoryReport Report() const;

  bool m_checks_fencing = false;
  std::map<Artifact, Item> m_items;
  std::set<std::uint64_t> m_numbers;
  std::map<std::string, FencingNumber> m_fences;
};

class PlacementWorld {
 public:
  PlacementWorld();

  void SendDemand(std::size_t shard, std::size_t model, bool adapter);
  // These act on the message in flight at index `pick` modulo the number of
  // messages; no effect if there is none.
  void Deliver(std::size_t pick);
  void Drop(std::size_t pick);
  void Duplicate(std::size_t pick);
  void Advance(Duration by);
  // Crashes the shard's claim holder. Its messages stay in flight, and a new
  // claim holder starts on the next Advance().
  void Crash(std::size_t shard);
  void RestartEngine(std::size_t engine);
  void RequestRelease(std::size_t shard, std::size_t model);
  // Delivers all messages and advances the time, for long enough that every
  // shard should have finished its work.
  void Quiesce();

  // Return a description of the first failed check, or an empty text.
  // Violation() checks the rules that hold at all times, UnfinishedWork() that
  // no work is left after Quiesce().
  std::string Violation() const;
  std::string UnfinishedWork() const;

  std::size_t ready_answers() const { return m_ready_answers; }
  std::size_t loads() const { return m_loads; }

 private:
  struct Message {
    std::function<void()> m_deliver;
    std::function<void()> m_time_out;  // Handles the time-out at the sender.
    // Delivers a second copy, whose reply is discarded.
    std::function<void()> m_deliver_copy;
    MonotonicTime m_expires = MonotonicTime::max();
  };
  struct Holder {
    std::unique_ptr<Shard> m_shard;
    FencingNumber m_fence = 0;
  };
  struct Stored {
    std::string m_value;
    Revision m_revision = 0;
  };

  void StartHolder(std::size_t shard);
  Shard* Find(std::size_t shard, FencingNumber fence);
  void CarryOut(std::size_t shard, FencingNumber fence, const Effects& effects);
  void Execute(std::size_t shard,
               FencingNumber fence,
               const SwapRecord& effect);
  void Execute(std::size_t shard,
               FencingNumber fence,
               const ReadRecord& effect);
  void Execute(std::size_t shard,
               FencingNumber fence,
               const ReadAllRecords& effect);
  void Execute(std::size_t shard, FencingNumber fence, const SendOrder& effect);
  void Execute(std::size_t shard,
               FencingNumber fence,
               const RaiseFence& effect);
  void Execute(std::size_t shard,
               FencingNumber fence,
               const FetchInventory& effect);
  void Execute(std::size_t shard,
               FencingNumber fence,
               const AnswerDemand& effect);
  void Execute(std::size_t shard,
               FencingNumber fence,
               const RequestReplicaRelease& effect);
  RecordReply Swap(const SwapRecord& swap);
  RecordReply Read(const RecordName& record) const;
  void Send(std::function<void()> deliver,
            std::function<void()> time_out,
            std::function<void()> deliver_copy = nullptr,
            MonotonicTime expires = MonotonicTime::max());
  void ExpireMessages();

  MonotonicTime m_now{seconds(1000)};
  std::map<RecordName, Stored> m_records;
  Revision m_revision = 0;
  std::map<EndpointId, FakeEngine> m_engines;
  std::vector<Holder> m_holders;
  FencingNumber m_last_fence = 0;
  std::vector<Message> m_messages;
  DemandId m_last_demand = 0;
  std::map<DemandId, std::size_t> m_open_demands;  // Value: the shard.
  std::size_t m_ready_answers = 0;
  std::size_t m_loads = 0;
};

}  // namespace hickoryloft::placement

#endif  // TESTS_PLACEMENT_PLACEMENT_WORLD_H_
