// Stand-in for the weight store, whose fetches are limited in rate and slow
// down when many run at once.

#ifndef STANDINS_STORE_STAND_IN_H_
#define STANDINS_STORE_STAND_IN_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

#include "StandIns/stand_in.h"
#include "StandIns/transfer_lane.h"

namespace hickoryloft::standins {

struct StoreSettings {
  double m_loads_per_second = 7;
  std::size_t m_loads_at_full_speed = 4;
  std::size_t m_adapters_at_full_speed = 30;
  double m_bytes_per_second = 4e9;  // Speed of a load that runs alone.
};

// Serves `POST /fetch {"artifact", "bytes", "adapter"}`, which is answered when
// the fetch ends. Fetching an adapter takes 5 to 10 ms at full speed and is not
// limited in rate. Fault: "slowdown" (a factor on the duration of all fetches).
// Use on the loop's thread only.
class StoreStandIn : public StandIn {
 public:
  StoreStandIn(EventLoop& loop,
               const ListenAddress& listen,
               const StoreSettings& settings);

  nlohmann::json Record() const override;

 private:
  struct Fetch {
    CallPtr m_call;
    std::string m_artifact;
    std::uint64_t m_bytes = 0;
  };

  void Handle(const CallPtr& call) override;
  void ApplyFaults(const nlohmann::json& faults) override;
  void StartAdapter(const Fetch& fetch);
  void StartNextLoad();
  void Answer(const Fetch& fetch);

  StoreSettings m_settings;
  TransferLane m_loads;
  TransferLane m_adapters;
  std::deque<Fetch> m_waiting;  // Loads held back by the rate limit.
  MonotonicTime m_next_start{};
  std::unique_ptr<Timer> m_start_timer;
  std::uint64_t m_load_count = 0;
  std::uint64_t m_adapter_count = 0;
  std::map<std::string, std::uint64_t> m_by_artifact;
};

}  // namespace hickoryloft::standins

#endif  // STANDINS_STORE_STAND_IN_H_
