#include "tools/load/scenario.h"

#include <arpa/inet.h>

#include <charconv>
#include <filesystem>
#include <set>
#include <sstream>

#include "base/error.h"
#include "documents/table_reader.h"
#include "settings/settings_file.h"
#include "settings/toml_text.h"

namespace hickoryloft::tools {
namespace {

using documents::TableReader;

constexpr double kMaxRequestsPerSecond = 100'000;
constexpr double kMaxSkew = 4;
constexpr std::uint64_t kMaxWordsOrTokens = 100'000;
constexpr std::uint64_t kMaxPatienceMs = 3'600'000;
constexpr std::uint32_t kLoopbackNetwork = 127;
constexpr unsigned kNetworkShiftBits = 24;

Flow ParseFlow(TableReader reader) {
  Flow flow{
      .m_name = reader.name(),
      .m_account = reader.String("account", ""),
      .m_requests_per_second =
          reader.Number("requests_per_second", {0, kMaxRequestsPerSecond}),
      .m_models = reader.StringList("models"),
      .m_skew = reader.Number("skew", {0, kMaxSkew}, 0),
      .m_stream = reader.Boolean("stream", false),
      .m_prompt_words =
          reader.Unsigned("prompt_words", {1, kMaxWordsOrTokens}, 20),
      .m_max_tokens = reader.Unsigned("max_tokens", {1, kMaxWordsOrTokens}, 16),
      .m_path = reader.String("path", ""),
      .m_idempotency_key = reader.Boolean("idempotency_key", false),
      .m_patience =
          milliseconds(reader.Unsigned("patience_ms", {0, kMaxPatienceMs}, 0))};
  if (flow.m_models.empty() == flow.m_path.empty()) {
    reader.Fail("", "needs either 'models' or 'path'");
  }
  reader.RejectUnknownKeys();
  return flow;
}

}  // namespace

endpoint::EndpointAddress ParseLoopback(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  endpoint::EndpointAddress address{.m_id = EndpointId(text),
                                    .m_address = text.substr(0, colon)};
  in_addr ipv4_address{};
  const bool is_ip =
      inet_pton(AF_INET, address.m_address.c_str(), &ipv4_address) == 1;
  if (!is_ip ||
      (ntohl(ipv4_address.s_addr) >> kNetworkShiftBits) != kLoopbackNetwork) {
    throw Error(ErrorCode::kInvalidArgument,
                text + ": only targets in 127.0.0.0/8 are allowed");
  }
  const char* end = text.data() + text.size();
  const auto parsed =
      colon == std::string::npos
          ? std::from_chars_result{end, std::errc{}}
          : std::from_chars(text.data() + colon + 1, end, address.m_port);
  if (parsed.ptr != end || address.m_port == 0) {
    throw Error(ErrorCode::kInvalidArgument,
                text + ": expected <ip>:<port>, for example 127.0.0.1:8080");
  }
  return address;
}

Scenario LoadScenario(const std::string& path) {
  const toml::table root = settings::ParseTomlText(
      settings::ReadFile(path), path, ErrorCode::kInvalidDocument);
  TableReader reader(root, "", path);
  Scenario scenario;
  for (const std::string& target : reader.StringList("targets")) {
    scenario.m_targets.push_back(ParseLoopback(target));
  }
  const std::filesystem::path folder =
      std::filesystem::path(path).parent_path();
  for (TableReader account : reader.NamedTables("accounts")) {
    const std::string key_file = account.String("key_file");
    account.RejectUnknownKeys();
    scenario.m_keys[account.name()] =
        settings::LoadSecret((folder / key_file).string());
  }
  for (const TableReader& flow : reader.NamedTables("flows")) {
    scenario.m_flows.push_back(ParseFlow(flow));
    const std::string& name = scenario.m_flows.back().m_account;
    if (!name.empty() && scenario.m_keys.count(name) == 0) {
      flow.Fail("account", "no account '" + name + "' in this scenario");
    }
  }
  reader.RejectUnknownKeys();
  return scenario;
}

}  // namespace hickoryloft::tools
