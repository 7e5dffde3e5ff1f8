#include "claims/claim_record.h"

#include <nlohmann/json.hpp>

#include "base/error.h"

namespace hickoryloft::claims {

std::string FormatClaimRecord(const ClaimRecord& record) {
  const nlohmann::json json = {
      {"holder", record.m_holder.value()},
      {"incarnation", record.m_incarnation},
      {"nonce", record.m_nonce},
      {"lease", record.m_lease},
      {"successor", record.m_successor.value()},
      {"successor_lease", record.m_successor_lease},
      {"fence", record.m_fence},
  };
  return json.dump();
}

ClaimRecord ParseClaimRecord(const std::string& text) {
  try {
    const nlohmann::json json = nlohmann::json::parse(text);
    return {
        .m_holder = HostId(json.at("holder").get<std::string>()),
        .m_incarnation = json.at("incarnation").get<Incarnation>(),
        .m_nonce = json.at("nonce").get<std::uint64_t>(),
        .m_lease = json.at("lease").get<std::int64_t>(),
        .m_successor = HostId(json.at("successor").get<std::string>()),
        .m_successor_lease = json.at("successor_lease").get<std::int64_t>(),
        .m_fence = json.at("fence").get<FencingNumber>(),
    };
  } catch (const nlohmann::json::exception& error) {
    throw Error(ErrorCode::kProtocol,
                "the value of a claim's key is not a claim record: " +
                    std::string(error.what()));
  }
}

}  // namespace hickoryloft::claims
