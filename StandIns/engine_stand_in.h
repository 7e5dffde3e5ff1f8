// Stand-in for a model engine: completions, orders, inventory and faults.

#ifndef STANDINS_ENGINE_STAND_IN_H_
#define STANDINS_ENGINE_STAND_IN_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "StandIns/completion.h"
#include "StandIns/decode_batch.h"
#include "StandIns/engine_memory.h"
#include "StandIns/request_log.h"
#include "StandIns/stand_in.h"
#include "keyvalue/http_client.h"

namespace hickoryloft::standins {

enum class CacheTier { kMemory, kDisk, kRemote };

struct EngineSettings {
  std::string m_name = "engine";
  std::string m_failure_domain;
  std::uint64_t m_memory_bytes = 80'000'000'000;
  std::optional<ListenAddress> m_store;  // Absent: remote loads take no time.
  bool m_ignore_fencing = false;
  DecodeSettings m_decode;
  // Speed of loads by cache tier.
  double m_memory_bytes_per_second = 20e9;
  double m_disk_bytes_per_second = 3e9;
};

// Serves the engine interface of docs/ARCHITECTURE.md. Faults besides the
// common ones: "leaving", "reply_with_wrong_id" (a count), "duplicate_reply" (a
// count of answers replaced by a copy of the last one),
// "cut_stream_after_tokens" with "cut_streams" (a count, 1 if absent),
// "report_lag_ms", "cached" (a list of artifacts with "tier"),
// "watched_secrets". "drop_replies" applies to replies to orders. Use on the
// loop's thread only.
class EngineStandIn : public StandIn {
 public:
  EngineStandIn(EventLoop& loop,
                const ListenAddress& listen,
                const EngineSettings& settings);

  nlohmann::json Record() const override;

 private:
  struct CachedArtifact {
    EngineArtifact m_artifact;
    CacheTier m_tier = CacheTier::kRemote;
  };

  void Handle(const CallPtr& call) override;
  void ApplyFaults(const nlohmann::json& faults) override;

  void HandleOrder(const CallPtr& call);
  void HandleFence(const CallPtr& call);
  void HandleCompletion(const CallPtr& call, bool chat);
  bool RefuseCompletion(const CallPtr& call, const std::string& served_name);
  void Generate(const std::shared_ptr<Completion>& completion);

  void StartLoad(const EngineOrder& order);
  void FetchFromStore(const EngineOrder& order);
  void FinishLoadAfter(const EngineOrder& order, Duration delay);
  void FinishLoad(const EngineOrder& order);
  void FinishIdleUnloads();

  nlohmann::json Inventory() const;
  const nlohmann::json& LaggedInventory();
  Headers LoadHeaders() const;

  EngineSettings m_settings;
  EngineMemory m_memory;
  DecodeBatch m_batch;
  std::unique_ptr<keyvalue::HttpClient> m_store;
  std::map<std::string, CachedArtifact> m_cached;  // By served name.
  // By order number.
  std::map<std::uint64_t, std::unique_ptr<Timer>> m_load_timers;
  RequestLog m_requests;
  CompletionFaults m_completion_faults;
  // Number of generations started, by request id.
  std::map<std::string, std::uint64_t> m_generations;

  bool m_leaving = false;
  Duration m_inventory_lag{};
  nlohmann::json m_reported_inventory;
  MonotonicTime m_reported_at{};
};

}  // namespace hickoryloft::standins

#endif  // STANDINS_ENGINE_STAND_IN_H_
