// Stand-in for a plain service that records the requests it executed.

#ifndef STANDINS_SERVICE_STAND_IN_H_
#define STANDINS_SERVICE_STAND_IN_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "StandIns/request_log.h"
#include "StandIns/stand_in.h"

namespace hickoryloft::standins {

// Executes every request, whatever its path, and replies with the number of the
// execution. Repeated requests are not deduplicated: each one is recorded as
// another execution. Faults besides the common ones: "refuse" (answers 503
// without executing), "watched_secrets" (texts whose occurrence in a request is
// recorded), "reply_with_wrong_id" (a count). Use on the loop's thread only.
class ServiceStandIn : public StandIn {
 public:
  ServiceStandIn(EventLoop& loop,
                 const ListenAddress& listen,
                 std::string name);

  nlohmann::json Record() const override;

 private:
  struct Execution {
    std::uint64_t m_count = 0;
    std::string m_body;  // Request body of the last execution.
  };

  void Handle(const CallPtr& call) override;
  void ApplyFaults(const nlohmann::json& faults) override;

  std::string m_name;
  bool m_refuse = false;
  std::int64_t m_wrong_ids_left = 0;
  std::uint64_t m_execution_count = 0;
  std::uint64_t m_refused = 0;
  std::map<std::string, Execution> m_executions_by_key;  // By Idempotency-Key.
  RequestLog m_requests;
};

}  // namespace hickoryloft::standins

#endif  // STANDINS_SERVICE_STAND_IN_H_
