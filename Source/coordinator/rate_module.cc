#include "coordinator/rate_module.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "base/log.h"
#include "wire/frame.h"

namespace hickoryloft::coordinator {

namespace {

const Logger kLogger("rate");

ClaimName ClaimOf(const std::string& account, std::uint32_t slot) {
  return "rate/" + account + "/" + std::to_string(slot);
}

std::string SerializeState(const limits::ShareState& state) {
  nlohmann::json open_grants = nlohmann::json::array();
  for (const limits::OpenGrant& grant : state.m_open) {
    open_grants.push_back(
        {{"tokens", grant.m_tokens},
         {"lapses_in_ms", ToMillis(grant.m_expires_in).count() + 1}});
  }
  return nlohmann::json({{"level", state.m_level}, {"open", open_grants}})
      .dump();
}

// Parses the state in `text`. Returns none if it is not valid; the share then
// starts empty, which is always safe.
std::optional<limits::ShareState> ParseState(const std::string& text) {
  try {
    const auto json = nlohmann::json::parse(text);
    limits::ShareState state{.m_level = json.at("level").get<double>()};
    for (const auto& grant : json.at("open")) {
      state.m_open.push_back(
          {.m_tokens = grant.at("tokens").get<double>(),
           .m_expires_in =
               milliseconds(grant.at("lapses_in_ms").get<std::int64_t>())});
    }
    return state;
  } catch (const nlohmann::json::exception& error) {
    kLogger.Warn(
        "The handed-over state of a rate share is not valid; the share "
        "starts empty.",
        {{"reason", error.what()}});
    return std::nullopt;
  }
}

limits::TokenRequest ToTokenRequest(const wire::TokenDrawT& message) {
  return {.m_entry = message.entry,
          .m_tokens = message.tokens,
          .m_spent = message.spent,
          .m_returned = message.returned,
          .m_refunded = message.refunded,
          .m_sequence = message.sequence,
          .m_epoch = message.epoch};
}

std::uint32_t CeilMillis(Duration duration) {
  return static_cast<std::uint32_t>(
      std::chrono::ceil<milliseconds>(duration).count());
}

wire::TokenGrantT ToTokenGrant(const wire::TokenDrawT& token_request,
                               const limits::TokenReply& reply) {
  wire::TokenGrantT grant;
  grant.account = token_request.account;
  grant.slot = token_request.slot;
  grant.granted = reply.m_granted;
  grant.valid_for_ms =
      static_cast<std::uint32_t>(ToMillis(reply.m_valid_for).count());
  grant.retry_after_ms = CeilMillis(reply.m_retry_after);
  grant.epoch = reply.m_epoch;
  grant.refill_per_second = reply.m_refill_per_second;
  grant.burst_tokens = reply.m_burst_tokens;
  grant.level = static_cast<std::uint64_t>(reply.m_level);
  return grant;
}

}  // namespace

RateModule::RateModule(Core& core)
    : m_core(core),
      m_requests_answered(core.Metrics().GetCounter(
          "loft_token_draws_total",
          "Draws answered by the rate shares of this host.")),
      m_tokens_granted(core.Metrics().GetCounter(
          "loft_tokens_granted_total",
          "Tokens granted by the rate shares of this host.")) {
  ReadLimits();
}

std::vector<ClaimName> RateModule::WantedClaims() const {
  std::vector<ClaimName> claims;
  for (const auto& [claim, limit] : m_account_limits) {
    claims.push_back(claim);
  }
  return claims;
}

std::optional<ClaimName> RateModule::ClaimFor(
    const wire::EnvelopeT& request) const {
  const auto* token_request = request.body.AsTokenDraw();
  if (token_request == nullptr) {
    return std::nullopt;
  }
  return ClaimOf(token_request->account, token_request->slot);
}

void RateModule::HandleRequest(const ClaimName& claim,
                               wire::EnvelopeT request,
                               Responder respond) {
  const wire::TokenDrawT& token_request = *request.body.AsTokenDraw();
  const auto owner = m_share_owners.find(claim);
  if (owner == m_share_owners.end() || token_request.entry.empty()) {
    respond(wire::MakeReply(
        request, wire::ToRequestFailed(
                     Error(ErrorCode::kNotFound, "no such rate share here"))));
    return;
  }
  // Checked right before the effect, since the process may have been paused.
  if (m_core.HeldFence(claim) != owner->second->epoch()) {
    respond(wire::MakeReply(
        request, wire::ToRequestFailed(
                     Error(ErrorCode::kFenced, "the rate share has moved"))));
    return;
  }
  const auto reply =
      owner->second->GrantTokens(ToTokenRequest(token_request), m_core.Now());
  m_requests_answered.Add();
  m_tokens_granted.Add(static_cast<double>(reply.m_granted));
  respond(wire::MakeReply(request, ToTokenGrant(token_request, reply)));
}

bool RateModule::HandleNotice(const HostId& /*from*/,
                              const wire::EnvelopeT& /*notice*/) {
  return false;
}

void RateModule::OnClaimHeld(const ClaimName& claim,
                             FencingNumber fence,
                             const std::optional<std::string>& hand_over) {
  const auto limit = LimitOf(claim);
  if (!limit) {
    return;
  }
  const auto state = hand_over ? ParseState(*hand_over) : std::nullopt;
  m_share_owners[claim] = std::make_unique<limits::ShareOwner>(
      m_share_plan.ShareOf(*limit),
      static_cast<std::uint64_t>(limit->m_burst_tokens), fence, m_core.Now(),
      state);
  kLogger.Info("Acquired a rate share.",
               {{"claim", claim}, {"handed_over", state ? "yes" : "no"}});
}

void RateModule::OnClaimLost(const ClaimName& claim) {
  m_share_owners.erase(claim);
}

std::string RateModule::PrepareHandOver(const ClaimName& claim) {
  const auto owner = m_share_owners.find(claim);
  if (owner == m_share_owners.end()) {
    return "";
  }
  std::string text = SerializeState(owner->second->Stop(m_core.Now()));
  m_share_owners.erase(owner);
  return text;
}

bool RateModule::HasOpenWork(const ClaimName& /*claim*/) const {
  return false;
}

void RateModule::OnDocumentsChanged() {
  ReadLimits();
  const MonotonicTime now = m_core.Now();
  for (auto& [claim, owner] : m_share_owners) {
    const auto limit = LimitOf(claim).value_or(limits::RateLimit{});
    owner->SetLimit(m_share_plan.ShareOf(limit),
                    static_cast<std::uint64_t>(limit.m_burst_tokens), now);
  }
}

void RateModule::OnEntryConnected(
    const std::function<void(const wire::EnvelopeT&)>& /*send*/) {}

void RateModule::OnTick(MonotonicTime /*now*/) {}

std::optional<limits::RateLimit> RateModule::LimitOf(
    const ClaimName& claim) const {
  const auto found = m_account_limits.find(claim);
  if (found == m_account_limits.end()) {
    return std::nullopt;
  }
  return found->second;
}

void RateModule::ReadLimits() {
  m_account_limits.clear();
  for (const documents::Document& document : m_core.Documents()) {
    for (const auto& [id, account] : document.m_accounts) {
      const limits::RateLimit limit{
          .m_tokens_per_second = account.m_tokens_per_second,
          .m_burst_tokens = static_cast<double>(account.m_burst_tokens)};
      const std::string qualified_name =
          documents::QualifiedName(document.m_service, id.value());
      for (std::uint32_t slot = 0; slot < m_share_plan.Slots(); ++slot) {
        m_account_limits[ClaimOf(qualified_name, slot)] = limit;
      }
    }
  }
}

}  // namespace hickoryloft::coordinator
