#include "coordinator/status_page.h"

namespace hickoryloft::coordinator {

namespace {

nlohmann::json ListMembers(const Coordinator& coordinator) {
  nlohmann::json members = nlohmann::json::array();
  for (const Member& member : coordinator.Members()) {
    members.push_back({
        {"host", member.m_host.value()},
        {"incarnation", std::to_string(member.m_incarnation)},
        {"failure_domain", member.m_failure_domain.value()},
        {"address", member.m_address},
        {"port", member.m_port},
        {"leaving", member.m_leaving},
    });
  }
  return members;
}

nlohmann::json ListClaims(const Coordinator& coordinator) {
  nlohmann::json claims = nlohmann::json::array();
  const claims::ClaimTable& table = coordinator.claims();
  for (const ClaimName& claim : table.Known()) {
    nlohmann::json item = {
        {"claim", claim},
        {"fence", table.KnownFence(claim)},
        {"held_here", coordinator.HeldFence(claim).has_value()},
    };
    if (const auto holder = table.Holder(claim)) {
      item["holder"] = holder->value();
    }
    claims.push_back(std::move(item));
  }
  return claims;
}

}  // namespace

nlohmann::json ListDocuments(const Coordinator& coordinator) {
  nlohmann::json documents = nlohmann::json::array();
  for (const auto& [service, text] : coordinator.documents().table().texts()) {
    documents.push_back({{"service", service.value()},
                         {"revision", text.m_revision},
                         {"bytes", text.m_text.size()}});
  }
  return documents;
}

nlohmann::json MakeStatus(const Coordinator& coordinator) {
  const DocumentKeeper& documents = coordinator.documents();
  nlohmann::json problems = nlohmann::json::object();
  for (const auto& [service, problem] : documents.table().problems()) {
    problems[service.value()] = problem;
  }
  nlohmann::json modules = nlohmann::json::array();
  for (const auto& module : coordinator.modules()) {
    modules.push_back(module->name());
  }
  return {
      {"host", coordinator.Self().m_host.value()},
      {"leaving", coordinator.leaving()},
      {"serve_for_ms",
       ToMillis(coordinator.RemainingServingTime(coordinator.Now())).count()},
      {"documents_revision", documents.table().applied_revision()},
      {"members", ListMembers(coordinator)},
      {"claims", ListClaims(coordinator)},
      {"documents", ListDocuments(coordinator)},
      {"document_problems", problems},
      {"modules", modules},
  };
}

}  // namespace hickoryloft::coordinator
