// The part of PlacementModule that executes a shard's effects.

#include <utility>
#include <variant>

#include "coordinator/placement_module.h"
#include "coordinator/placement_records.h"
#include "wire/frame.h"

namespace hickoryloft::coordinator {
namespace {

constexpr Duration kReleaseTimeout = seconds(1);
constexpr Duration kRecoveryRetry = milliseconds(200);

}  // namespace

void PlacementModule::ExecuteEffects(const ClaimName& claim,
                                     FencingNumber fence,
                                     placement::Effects effects) {
  for (placement::Effect& effect : effects) {
    const bool answer = std::holds_alternative<placement::AnswerDemand>(effect);
    // The claim may have expired during the previous effects.
    if (!answer && m_core.HeldFence(claim) != fence) {
      m_log.Warn("The claim is no longer held; skipping an effect.",
                 {{"claim", claim}});
      continue;
    }
    std::visit([&](auto& operation) { Execute(claim, fence, operation); },
               effect);
  }
}

void PlacementModule::Execute(const ClaimName& claim,
                              FencingNumber fence,
                              placement::SwapRecord& effect) {
  std::weak_ptr<bool> alive = m_alive;
  m_core.KeyValues().Swap(
      {.m_key = RecordKey(effect.m_record),
       .m_expected_revision = effect.m_expected,
       .m_value = std::move(effect.m_value)},
      [this, alive, claim, fence,
       record = effect.m_record](const Result<keyvalue::SwapReply>& reply) {
        HeldShard* held =
            alive.expired() ? nullptr : FindHeldShard(claim, fence);
        if (held == nullptr) {
          return;
        }
        placement::Shard& shard = *held->m_shard;
        const MonotonicTime now = m_core.Now();
        ExecuteEffects(
            claim, fence,
            reply.ok()
                ? shard.OnRecord(ToRecordReply(record, reply.value()), now)
                : shard.OnRecordFailed(record, now));
      });
}

void PlacementModule::Execute(const ClaimName& claim,
                              FencingNumber fence,
                              placement::ReadRecord& effect) {
  std::weak_ptr<bool> alive = m_alive;
  m_core.KeyValues().Get(
      RecordKey(effect.m_record),
      [this, alive, claim, fence,
       record = effect.m_record](const Result<keyvalue::ReadReply>& reply) {
        HeldShard* held =
            alive.expired() ? nullptr : FindHeldShard(claim, fence);
        if (held == nullptr) {
          return;
        }
        placement::Shard& shard = *held->m_shard;
        const MonotonicTime now = m_core.Now();
        ExecuteEffects(
            claim, fence,
            reply.ok()
                ? shard.OnRecord(ToRecordReply(record, reply.value()), now)
                : shard.OnRecordFailed(record, now));
      });
}

void PlacementModule::Execute(const ClaimName& claim,
                              FencingNumber fence,
                              placement::ReadAllRecords& /*effect*/) {
  ReadNextKind(claim, fence, 0, std::make_shared<RecordReplies>());
}

void PlacementModule::ReadNextKind(
    const ClaimName& claim,
    FencingNumber fence,
    std::size_t kind_index,
    const std::shared_ptr<RecordReplies>& replies) {
  if (kind_index == kRecordKinds.size()) {
    if (HeldShard* held = FindHeldShard(claim, fence)) {
      ExecuteEffects(claim, fence,
                     held->m_shard->OnRecovered(*replies, m_core.Now()));
    }
    return;
  }
  std::weak_ptr<bool> alive = m_alive;
  m_core.KeyValues().GetPrefix(
      RecordPrefix(kRecordKinds[kind_index]),
      [this, alive, claim, fence, kind_index,
       replies](const Result<keyvalue::ReadReply>& reply) {
        if (alive.expired() || FindHeldShard(claim, fence) == nullptr) {
          return;
        }
        if (!reply.ok()) {
          m_recovery_retries[claim] = m_core.Loop().After(
              kRecoveryRetry, [this, claim, fence, kind_index, replies]() {
                ReadNextKind(claim, fence, kind_index, replies);
              });
          return;
        }
        for (const keyvalue::KeyValue& item : reply.value().m_items) {
          replies->push_back(ToRecordReply(kRecordKinds[kind_index], item));
        }
        ReadNextKind(claim, fence, kind_index + 1, replies);
      });
}

void PlacementModule::Execute(const ClaimName& claim,
                              FencingNumber fence,
                              placement::SendOrder& effect) {
  if (m_observer.table().Find(effect.m_endpoint) == nullptr) {
    if (HeldShard* held = FindHeldShard(claim, fence)) {
      ExecuteEffects(
          claim, fence,
          held->m_shard->OnOrderReply(
              effect.m_endpoint, effect.m_order.m_number,
              Error(ErrorCode::kUnavailable, "the endpoint is not listed"),
              m_core.Now()));
    }
    return;
  }
  const bool is_load = effect.m_order.m_kind == endpoint::OrderKind::kLoad;
  m_log.Info(is_load ? "Sending a load order." : "Sending an unload order.",
             {{"endpoint", effect.m_endpoint.value()},
              {"model", effect.m_order.m_artifact.m_model.value()},
              {"adapter", effect.m_order.m_artifact.m_adapter.value()},
              {"order", effect.m_order.m_number}});
  m_core.Metrics()
      .GetCounter("hickoryloft_placement_orders_total",
                  "Orders sent to engines.",
                  {{"kind", is_load ? "load" : "unload"}})
      .Add();
  std::weak_ptr<bool> alive = m_alive;
  m_orders.Send(m_observer.table().AddressOf(effect.m_endpoint), effect.m_order,
                [this, alive, claim, fence, endpoint = effect.m_endpoint,
                 number = effect.m_order.m_number](
                    const Result<endpoint::OrderReply>& reply) {
                  HeldShard* held =
                      alive.expired() ? nullptr : FindHeldShard(claim, fence);
                  if (held != nullptr) {
                    ExecuteEffects(claim, fence,
                                   held->m_shard->OnOrderReply(
                                       endpoint, number, reply, m_core.Now()));
                  }
                });
}

void PlacementModule::Execute(const ClaimName& claim,
                              FencingNumber fence,
                              placement::RaiseFence& effect) {
  if (m_observer.table().Find(effect.m_endpoint) == nullptr) {
    return;
  }
  std::weak_ptr<bool> alive = m_alive;
  m_orders.RaiseFence(
      m_observer.table().AddressOf(effect.m_endpoint), effect.m_scope,
      effect.m_fence,
      [this, alive, claim, fence,
       endpoint = effect.m_endpoint](const Result<Done>& reply) {
        HeldShard* held =
            alive.expired() ? nullptr : FindHeldShard(claim, fence);
        if (held != nullptr) {
          ExecuteEffects(
              claim, fence,
              held->m_shard->OnFenceRaised(endpoint, reply.ok(), m_core.Now()));
        }
      });
}

void PlacementModule::Execute(const ClaimName& /*claim*/,
                              FencingNumber /*fence*/,
                              placement::FetchInventory& effect) {
  m_observer.FetchInventory(effect.m_endpoint);
}

void PlacementModule::Execute(const ClaimName& /*claim*/,
                              FencingNumber /*fence*/,
                              placement::AnswerDemand& effect) {
  const auto found = m_open_demands.find(effect.m_answer.m_id);
  if (found == m_open_demands.end()) {
    return;
  }
  const OpenDemand open = std::move(found->second);
  m_open_demands.erase(found);
  wire::DemandReplyT reply = ToDemandReply(effect.m_answer);
  m_core.Metrics()
      .GetCounter("hickoryloft_placement_demands_total",
                  "Demands answered, by verdict.",
                  {{"verdict", wire::EnumNameDemandVerdict(reply.verdict)}})
      .Add();
  open.m_respond(wire::MakeReply(open.m_request, std::move(reply)));
}

void PlacementModule::Execute(const ClaimName& claim,
                              FencingNumber fence,
                              placement::RequestReplicaRelease& effect) {
  wire::ReleaseRequestT request;
  request.model = effect.m_replica.m_artifact.m_model.value();
  request.adapter = effect.m_replica.m_artifact.m_adapter.value();
  request.version = effect.m_replica.m_artifact.m_version;
  request.endpoint = effect.m_replica.m_endpoint.value();
  request.worth = effect.m_value;
  wire::EnvelopeT envelope = wire::MakeEnvelope(std::move(request));
  const std::optional<ClaimName> holder_claim = ClaimFor(envelope);
  std::weak_ptr<bool> alive = m_alive;
  m_core.RequestFromHolder(
      *holder_claim, std::move(envelope), kReleaseTimeout,
      [this, alive, claim, fence,
       replica = effect.m_replica](const Result<wire::EnvelopeT>& reply) {
        HeldShard* held =
            alive.expired() ? nullptr : FindHeldShard(claim, fence);
        if (held == nullptr) {
          return;
        }
        const auto* answer =
            reply.ok() ? reply.value().body.AsReleaseReply() : nullptr;
        ExecuteEffects(
            claim, fence,
            held->m_shard->OnReleaseReply(
                replica, answer != nullptr && answer->released, m_core.Now()));
      });
}

}  // namespace hickoryloft::coordinator
