#include "Tests/placement/placement_world.h"

#include <algorithm>
#include <utility>

namespace hickoryloft::placement {
namespace {

constexpr Duration kLoadTime = milliseconds(300);
constexpr Duration kOrderLimit = seconds(5);
const ServiceId kService("shop");
const AdapterId kAdapter("a");

std::string ScopeOf(std::size_t shard) {
  return "placement/" + std::to_string(shard);
}

Policies TestPolicies() {
  return {.m_endpoint = std::make_unique<TierAwarePolicy>(),
          .m_retention = std::make_unique<FixedRetentionPolicy>(seconds(30)),
          .m_load_order = std::make_unique<EarliestDeadlinePolicy>()};
}

Catalog CatalogOf(std::size_t shard) {
  Catalog catalog;
  for (std::size_t index = 0; index < kModelsPerShard; ++index) {
    const ModelId id = ModelAt(shard, index);
    catalog[id] = {
        .m_id = id,
        .m_version = "1",
        .m_bytes = kModelBytes,
        .m_peak_bytes = kModelPeakBytes,
        .m_max_replicas = 2,
        .m_adapters = {
            {kAdapter, {.m_version = "1", .m_bytes = kAdapterBytes}}}};
  }
  return catalog;
}

}  // namespace

ModelId ModelAt(std::size_t shard, std::size_t index) {
  return ModelId("shop/m" + std::to_string(shard) + std::to_string(index));
}

endpoint::OrderReply FakeEngine::Execute(const endpoint::Order& order,
                                         MonotonicTime now) {
  FencingNumber& fence = m_fences[order.m_scope];
  if (m_checks_fencing && order.m_fencing_number < fence) {
    return {.m_outcome = endpoint::OrderOutcome::kFenced};
  }
  fence = std::max(fence, order.m_fencing_number);
  if (!m_numbers.insert(order.m_number).second) {
    return {.m_outcome = endpoint::OrderOutcome::kAccepted};
  }
  if (order.m_kind == endpoint::OrderKind::kUnload) {
    m_items.erase(order.m_artifact);
  } else {
    m_items[order.m_artifact] = {.m_bytes = order.m_bytes,
                                 .m_peak_bytes = order.m_peak_bytes,
                                 .m_order_number = order.m_number,
                                 .m_ready_at = now + kLoadTime};
  }
  return {.m_outcome = endpoint::OrderOutcome::kAccepted};
}

void FakeEngine::Advance(MonotonicTime now) {
  for (auto& [artifact, item] : m_items) {
    if (now >= item.m_ready_at) {
      item.m_phase = ArtifactPhase::kReady;
    }
  }
}

std::uint64_t FakeEngine::UsedBytes() const {
  std::uint64_t used = 0;
  for (const auto& [artifact, item] : m_items) {
    used += item.m_phase == ArtifactPhase::kReady ? item.m_bytes
                                                  : item.m_peak_bytes;
  }
  return used;
}

endpoint::InventoryReport FakeEngine::Report() const {
  endpoint::InventoryReport report{.m_checks_fencing = m_checks_fencing,
                                   .m_memory_bytes = kEngineBytes};
  for (const auto& [artifact, item] : m_items) {
    report.m_items.push_back({.m_artifact = artifact,
                              .m_phase = item.m_phase,
                              .m_bytes = item.m_bytes,
                              .m_order_number = item.m_order_number});
  }
  return report;
}

PlacementWorld::PlacementWorld() : m_holders(kShards) {
  m_engines[EndpointId("e0")].m_checks_fencing = true;
  m_engines[EndpointId("e1")].m_checks_fencing = false;
  for (std::size_t shard = 0; shard < kShards; ++shard) {
    StartHolder(shard);
  }
}

void PlacementWorld::StartHolder(std::size_t shard) {
  Holder& holder = m_holders[shard];
  holder.m_fence = ++m_last_fence;
  holder.m_shard = std::make_unique<Shard>(
      ShardSettings{.m_scope = ScopeOf(shard)}, TestPolicies(), holder.m_fence);
  holder.m_shard->SetCatalog(CatalogOf(shard), {{kService, {{2, 2}, 1}}},
                             m_now);
  for (const auto& [id, engine] : m_engines) {
    holder.m_shard->OnEndpoint({.m_id = id,
                                .m_failure_domain = FailureDomainId(id.value()),
                                .m_checks_fencing = engine.m_checks_fencing,
                                .m_memory_bytes = kEngineBytes},
                               m_now);
  }
  CarryOut(shard, holder.m_fence, holder.m_shard->Start());
}

Shard* PlacementWorld::Find(std::size_t shard, FencingNumber fence) {
  Holder& holder = m_holders[shard];
  return holder.m_fence == fence ? holder.m_shard.get() : nullptr;
}

void PlacementWorld::CarryOut(std::size_t shard,
                              FencingNumber fence,
                              const Effects& effects) {
  for (const Effect& effect : effects) {
    std::visit([&](const auto& kind) { Execute(shard, fence, kind); }, effect);
  }
}

void PlacementWorld::Send(std::function<void()> deliver,
                          std::function<void()> time_out,
                          std::function<void()> deliver_copy,
                          MonotonicTime expires) {
  m_messages.push_back({std::move(deliver), std::move(time_out),
                        std::move(deliver_copy), expires});
}

RecordReply PlacementWorld::Read(const RecordName& record) const {
  const auto found = m_records.find(record);
  if (found == m_records.end()) {
    return {.m_record = record};
  }
  return {.m_record = record,
          .m_revision = found->second.m_revision,
          .m_value = found->second.m_value};
}

RecordReply PlacementWorld::Swap(const SwapRecord& swap) {
  RecordReply current = Read(swap.m_record);
  if (current.m_revision != swap.m_expected) {
    return current;
  }
  m_records[swap.m_record] = {swap.m_value, ++m_revision};
  return {
      .m_record = swap.m_record, .m_swapped = true, .m_revision = m_revision};
}

void PlacementWorld::Execute(std::size_t shard,
                             FencingNumber fence,
                             const SwapRecord& effect) {
  const auto failed = [this, shard, fence, effect]() {
    if (Shard* at = Find(shard, fence)) {
      CarryOut(shard, fence, at->OnRecordFailed(effect.m_record, m_now));
    }
  };
  const auto deliver = [this, shard, fence, effect, failed]() {
    const RecordReply reply = Swap(effect);
    const auto answer = [this, shard, fence, reply]() {
      if (Shard* at = Find(shard, fence)) {
        CarryOut(shard, fence, at->OnRecord(reply, m_now));
      }
    };
    Send(answer, failed);
  };
  Send(deliver, failed, [this, effect]() { Swap(effect); });
}

void PlacementWorld::Execute(std::size_t shard,
                             FencingNumber fence,
                             const ReadRecord& effect) {
  const auto failed = [this, shard, fence, effect]() {
    if (Shard* at = Find(shard, fence)) {
      CarryOut(shard, fence, at->OnRecordFailed(effect.m_record, m_now));
    }
  };
  const auto deliver = [this, shard, fence, effect]() {
    if (Shard* at = Find(shard, fence)) {
      CarryOut(shard, fence, at->OnRecord(Read(effect.m_record), m_now));
    }
  };
  Send(deliver, failed);
}

void PlacementWorld::Execute(std::size_t shard,
                             FencingNumber fence,
                             const ReadAllRecords& /*effect*/) {
  std::vector<RecordReply> records;
  for (const auto& [name, stored] : m_records) {
    records.push_back(Read(name));
  }
  const auto deliver = [this, shard, fence, records]() {
    if (Shard* at = Find(shard, fence)) {
      CarryOut(shard, fence, at->OnRecovered(records, m_now));
    }
  };
  Send(deliver, deliver);
}

void PlacementWorld::Execute(std::size_t shard,
                             FencingNumber fence,
                             const SendOrder& effect) {
  const auto reply_with = [this, shard, fence,
                           effect](const Result<endpoint::OrderReply>& reply) {
    if (Shard* at = Find(shard, fence)) {
      CarryOut(shard, fence,
               at->OnOrderReply(effect.m_endpoint, effect.m_order.m_number,
                                reply, m_now));
    }
  };
  const auto time_out = [reply_with]() {
    reply_with(Error(ErrorCode::kTimedOut, "no reply"));
  };
  m_loads += effect.m_order.m_kind == endpoint::OrderKind::kLoad ? 1 : 0;
  const auto deliver = [this, effect, reply_with, time_out]() {
    const endpoint::OrderReply reply =
        m_engines[effect.m_endpoint].Execute(effect.m_order, m_now);
    Send([reply_with, reply]() { reply_with(reply); }, time_out);
  };
  const auto deliver_copy = [this, effect]() {
    m_engines[effect.m_endpoint].Execute(effect.m_order, m_now);
  };
  Send(deliver, time_out, deliver_copy, m_now + kOrderLimit);
}

void PlacementWorld::Execute(std::size_t shard,
                             FencingNumber fence,
                             const RaiseFence& effect) {
  const auto deliver = [this, shard, fence, effect]() {
    FakeEngine& engine = m_engines[effect.m_endpoint];
    FencingNumber& lowest = engine.m_fences[effect.m_scope];
    lowest = std::max(lowest, effect.m_fence);
    if (Shard* at = Find(shard, fence)) {
      CarryOut(
          shard, fence,
          at->OnFenceRaised(effect.m_endpoint, engine.m_checks_fencing, m_now));
    }
  };
  Send(deliver, [] {});
}

void PlacementWorld::Execute(std::size_t shard,
                             FencingNumber fence,
                             const FetchInventory& effect) {
  const MonotonicTime requested_at = m_now;
  const auto deliver = [this, shard, fence, effect, requested_at]() {
    const endpoint::InventoryReport report =
        m_engines[effect.m_endpoint].Report();
    const auto answer = [this, shard, fence, effect, requested_at, report]() {
      if (Shard* at = Find(shard, fence)) {
        CarryOut(
            shard, fence,
            at->OnInventory(effect.m_endpoint, report, requested_at, m_now));
      }
    };
    Send(answer, [] {});
  };
  Send(deliver, [] {});
}

void PlacementWorld::Execute(std::size_t /*shard*/,
                             FencingNumber /*fence*/,
                             const AnswerDemand& effect) {
  m_open_demands.erase(effect.m_answer.m_id);
  m_ready_answers += effect.m_answer.m_verdict == DemandVerdict::kReady ? 1 : 0;
}

void PlacementWorld::Execute(std::size_t shard,
                             FencingNumber fence,
                             const placement::RequestReplicaRelease& effect) {
  const ReplicaKey replica = effect.m_replica;
  const auto answer = [this, shard, fence, replica](bool released) {
    if (Shard* at = Find(shard, fence)) {
      CarryOut(shard, fence, at->OnReleaseReply(replica, released, m_now));
    }
  };
  const auto time_out = [answer] { answer(false); };
  const auto deliver = [this, replica, answer, time_out,
                        worth = effect.m_value]() {
    bool released = false;
    for (std::size_t other = 0; other < kShards; ++other) {
      const Holder& holder = m_holders[other];
      if (holder.m_shard) {
        released |= holder.m_shard->GrantsRelease(replica, worth, m_now);
        CarryOut(other, holder.m_fence,
                 holder.m_shard->OnReleaseRequested(replica, worth, m_now));
      }
    }
    Send([answer, released] { answer(released); }, time_out);
  };
  Send(deliver, time_out);
}

void PlacementWorld::SendDemand(std::size_t shard,
                                std::size_t model,
                                bool adapter) {
  Holder& holder = m_holders[shard];
  if (!holder.m_shard) {
    return;
  }
  const Demand demand{.m_id = ++m_last_demand,
                      .m_model = ModelAt(shard, model),
                      .m_adapter = adapter ? kAdapter : AdapterId(),
                      .m_patience = seconds(10)};
  m_open_demands[demand.m_id] = shard;
  CarryOut(shard, holder.m_fence, holder.m_shard->OnDemand(demand, m_now));
}

void PlacementWorld::RequestRelease(std::size_t shard, std::size_t model) {
  Holder& holder = m_holders[shard];
  if (!holder.m_shard) {
    return;
  }
  constexpr double kHighWorth = 1e9;
  for (const auto& [id, engine] : m_engines) {
    const ReplicaKey replica{
        .m_artifact = {.m_model = ModelAt(shard, model), .m_version = "1"},
        .m_endpoint = id};
    CarryOut(shard, holder.m_fence,
             holder.m_shard->OnReleaseRequested(replica, kHighWorth, m_now));
  }
}

void PlacementWorld::Deliver(std::size_t pick) {
  if (m_messages.empty()) {
    return;
  }
  const std::size_t index = pick % m_messages.size();
  const Message message = std::move(m_messages[index]);
  m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(index));
  message.m_deliver();
}

void PlacementWorld::Drop(std::size_t pick) {
  if (m_messages.empty()) {
    return;
  }
  const std::size_t index = pick % m_messages.size();
  const Message message = std::move(m_messages[index]);
  m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(index));
  message.m_time_out();
}

void PlacementWorld::Duplicate(std::size_t pick) {
  if (m_messages.empty()) {
    return;
  }
  const Message message = m_messages[pick % m_messages.size()];
  if (message.m_deliver_copy) {
    message.m_deliver_copy();
  }
}

void PlacementWorld::ExpireMessages() {
  for (std::size_t index = m_messages.size(); index-- > 0;) {
    if (m_now >= m_messages[index].m_expires) {
      Drop(index);
    }
  }
}

void PlacementWorld::Advance(Duration by) {
  m_now += by;
  ExpireMessages();
  for (auto& [id, engine] : m_engines) {
    engine.Advance(m_now);
  }
  for (std::size_t shard = 0; shard < kShards; ++shard) {
    Holder& holder = m_holders[shard];
    if (holder.m_shard) {
      CarryOut(shard, holder.m_fence, holder.m_shard->OnTick(m_now));
    } else {
      StartHolder(shard);
    }
  }
}

void PlacementWorld::Crash(std::size_t shard) {
  // The callers see the connection close and send their demands again.
  std::erase_if(m_open_demands,
                [shard](const auto& item) { return item.second == shard; });
  m_holders[shard].m_shard.reset();
  m_holders[shard].m_fence = 0;
}

void PlacementWorld::RestartEngine(std::size_t engine) {
  FakeEngine& restarted = m_engines[EndpointId("e" + std::to_string(engine))];
  restarted = {.m_checks_fencing = restarted.m_checks_fencing,
               .m_fences = restarted.m_fences};
}

void PlacementWorld::Quiesce() {
  constexpr int kRounds = 400;
  for (int round = 0; round < kRounds; ++round) {
    while (!m_messages.empty()) {
      Deliver(0);
    }
    Advance(milliseconds(100));
  }
  while (!m_messages.empty()) {
    Deliver(0);
  }
}

std::string PlacementWorld::Violation() const {
  for (const auto& [id, engine] : m_engines) {
    if (engine.UsedBytes() > kEngineBytes) {
      return id.value() + " uses more than its memory";
    }
    const EndpointLedger ledger = EndpointLedger::FromJson(
        Read({.m_kind = RecordKind::kLedger, .m_name = id.value()}).m_value);
    if (ledger.UsedBytes() > kEngineBytes) {
      return id.value() + " has a ledger that reserves more than its memory";
    }
    for (const auto& [artifact, item] : engine.m_items) {
      if (ledger.m_reservations.count(artifact) == 0) {
        return id.value() +
               " holds an artifact without a reservation in its ledger";
      }
      const ModelRecord record =
          ModelRecord::FromJson(Read({.m_kind = RecordKind::kModel,
                                      .m_name = artifact.m_model.value()})
                                    .m_value);
      if (artifact.m_adapter.empty() &&
          record.m_replicas.count({id, artifact.m_version}) == 0) {
        return id.value() + " holds a replica that is not in the model record";
      }
    }
  }
  return "";
}

std::string PlacementWorld::UnfinishedWork() const {
  for (const Holder& holder : m_holders) {
    for (const auto& [key, replica] : holder.m_shard->replicas().all()) {
      if (replica.m_step != ReplicaStep::kReady) {
        return key.m_artifact.m_model.value() + " on " +
               key.m_endpoint.value() + " is stuck in step " +
               std::to_string(static_cast<int>(replica.m_step));
      }
    }
  }
  return m_open_demands.empty() ? "" : "a demand was never answered";
}

}  // namespace hickoryloft::placement
