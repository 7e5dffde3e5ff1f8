// The load scenario: targets, client accounts and the requests they send.

#ifndef SOURCE_TOOLS_LOAD_SCENARIO_H_
#define SOURCE_TOOLS_LOAD_SCENARIO_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "endpoint/orders.h"

namespace hickoryloft::tools {

// Requests of one kind that one client account sends.
struct Flow {
  std::string m_name;
  std::string m_account;  // Empty: no key is sent.
  double m_requests_per_second = 0;
  // Requests for models; empty for a plain service.
  std::vector<std::string> m_models;
  double m_skew = 0;  // Zipf exponent of the models' popularity; 0: uniform.
  bool m_stream = false;
  std::uint64_t m_prompt_words = 0;
  std::uint64_t m_max_tokens = 0;
  // Requests for a plain service; empty for models.
  std::string m_path;
  bool m_idempotency_key = false;
  milliseconds m_patience{0};  // 0: no header is sent.
};

struct Scenario {
  std::vector<endpoint::EndpointAddress> m_targets;
  std::map<std::string, std::string> m_keys;  // Keys by account.
  std::vector<Flow> m_flows;
};

// Reads the scenario at `path`; key files are relative to its folder. Throws
// Error(kIo) or Error(kInvalidDocument) that names file, line and key.
Scenario LoadScenario(const std::string& path);

// Parses "ip:port". Throws Error(kInvalidArgument) unless it is an IPv4
// loopback address with a port.
endpoint::EndpointAddress ParseLoopback(const std::string& text);

}  // namespace hickoryloft::tools

#endif  // SOURCE_TOOLS_LOAD_SCENARIO_H_
