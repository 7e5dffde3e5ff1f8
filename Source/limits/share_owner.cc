#include "limits/share_owner.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hickoryloft::limits {

namespace {

// Session name for grants made by previous owners; no entry has this name.
constexpr const char* kPreviousOwner = "";
constexpr Duration kSessionIdleTime = seconds(60);
// Upper bound of the retry delay, for a share with little or no refill.
constexpr double kMaxRetrySeconds = 3600;

}  // namespace

ShareOwner::ShareOwner(const RateLimit& share,
                       std::uint64_t account_burst,
                       FencingNumber epoch,
                       MonotonicTime now,
                       const std::optional<ShareState>& state)
    : m_limit(share),
      m_account_burst(account_burst),
      m_epoch(epoch),
      m_refilled_at(now),
      m_sessions_checked_at(now) {
  ShareState start = state.value_or(ShareState{
      .m_open = {{.m_tokens = share.m_burst_tokens,
                  .m_expires_in = kGrantValidity + kGrantDriftMargin}}});
  std::sort(start.m_open.begin(), start.m_open.end(),
            [](const OpenGrant& left, const OpenGrant& right) {
              return left.m_expires_in < right.m_expires_in;
            });
  Session& previous = m_sessions[kPreviousOwner];
  previous.m_used_at = now;
  for (const OpenGrant& open : start.m_open) {
    const MonotonicTime expires_at = now + open.m_expires_in;
    previous.m_grants.push_back(
        {.m_tokens = open.m_tokens, .m_expires_at = expires_at});
    m_expiries.push_back({.m_at = expires_at, .m_entry = kPreviousOwner});
    m_outstanding += open.m_tokens;
  }
  m_level = start.m_level;
  ClampLevel();
}

TokenReply ShareOwner::GrantTokens(const TokenRequest& request,
                                   MonotonicTime now) {
  Advance(now);
  Session& session = m_sessions[request.m_entry];
  session.m_used_at = now;
  if (request.m_sequence == session.m_sequence) {
    return session.m_reply;
  }
  if (request.m_sequence < session.m_sequence) {
    return {.m_epoch =
                m_epoch};  // Delivered after a later request; it has no effect.
  }
  if (request.m_epoch == m_epoch) {
    ApplyReport(session, request);
  }
  session.m_sequence = request.m_sequence;
  session.m_reply = GrantTo(session, request, now);
  return session.m_reply;
}

void ShareOwner::SetLimit(const RateLimit& share,
                          std::uint64_t account_burst,
                          MonotonicTime now) {
  Advance(now);
  m_limit = share;
  m_account_burst = account_burst;
  ClampLevel();
}

ShareState ShareOwner::Stop(MonotonicTime now) {
  Advance(now);
  ShareState state{.m_level = m_level};
  for (const auto& [entry, session] : m_sessions) {
    for (const Grant& grant : session.m_grants) {
      state.m_open.push_back({.m_tokens = grant.m_tokens,
                              .m_expires_in = grant.m_expires_at - now});
    }
  }
  m_level = 0;
  return state;
}

double ShareOwner::Level(MonotonicTime now) {
  Advance(now);
  return m_level;
}

double ShareOwner::Outstanding(MonotonicTime now) {
  Advance(now);
  return m_outstanding;
}

void ShareOwner::Advance(MonotonicTime now) {
  while (!m_expiries.empty() && m_expiries.front().m_at <= now) {
    RefillUntil(m_expiries.front().m_at);
    ExpireNext();
  }
  RefillUntil(now);
  DropIdleSessions(now);
}

void ShareOwner::RefillUntil(MonotonicTime time) {
  if (time <= m_refilled_at) {
    return;
  }
  m_level += m_limit.m_tokens_per_second * ToSeconds(time - m_refilled_at);
  m_refilled_at = time;
  ClampLevel();
}

void ShareOwner::ExpireNext() {
  const Expiry expiry = std::move(m_expiries.front());
  m_expiries.pop_front();
  const auto found = m_sessions.find(expiry.m_entry);
  if (found == m_sessions.end()) {
    return;
  }
  Session& session = found->second;
  while (!session.m_grants.empty() &&
         session.m_grants.front().m_expires_at <= expiry.m_at) {
    const double tokens = session.m_grants.front().m_tokens;
    session.m_grants.pop_front();
    session.m_expired += tokens;
    m_outstanding -= tokens;
  }
}

void ShareOwner::ClampLevel() {
  m_outstanding = std::max(m_outstanding, 0.0);
  m_level = std::clamp(m_level, 0.0,
                       std::max(m_limit.m_burst_tokens - m_outstanding, 0.0));
}

void ShareOwner::DropIdleSessions(MonotonicTime now) {
  if (now - m_sessions_checked_at < kSessionIdleTime) {
    return;
  }
  m_sessions_checked_at = now;
  std::erase_if(m_sessions, [now](const auto& item) {
    return now - item.second.m_used_at >= kSessionIdleTime &&
           item.second.m_grants.empty();
  });
}

void ShareOwner::ApplyReport(Session& session, const TokenRequest& request) {
  const auto spent = static_cast<double>(request.m_spent);
  const auto returned = static_cast<double>(request.m_returned);
  const double expired = ConsumeStream(session, spent + returned);
  // The returned tokens may include expired ones, and the share may already
  // have been refilled in their place. So expired tokens are not credited.
  m_level += std::max(returned - expired, 0.0);
  m_level += static_cast<double>(request.m_refunded);
  ClampLevel();
}

double ShareOwner::ConsumeStream(Session& session, double tokens) {
  const double expired = std::min(session.m_expired, tokens);
  session.m_expired -= expired;
  tokens -= expired;
  while (tokens > 0 && !session.m_grants.empty()) {
    Grant& front = session.m_grants.front();
    const double taken = std::min(front.m_tokens, tokens);
    front.m_tokens -= taken;
    tokens -= taken;
    m_outstanding -= taken;
    if (front.m_tokens <= 0) {
      session.m_grants.pop_front();
    }
  }
  // Tokens that were never granted count as expired, so that they are not
  // credited.
  return expired + tokens;
}

TokenReply ShareOwner::GrantTo(Session& session,
                               const TokenRequest& request,
                               MonotonicTime now) {
  const auto wanted = static_cast<double>(request.m_tokens);
  const double granted = std::floor(std::min(wanted, m_level));
  TokenReply reply{.m_granted = static_cast<std::uint64_t>(granted),
                   .m_valid_for = kGrantValidity,
                   .m_epoch = m_epoch,
                   .m_refill_per_second = m_limit.m_tokens_per_second,
                   .m_burst_tokens = m_account_burst};
  if (granted > 0) {
    const MonotonicTime expires_at = now + kGrantValidity + kGrantDriftMargin;
    m_level -= granted;
    m_outstanding += granted;
    session.m_grants.push_back(
        {.m_tokens = granted, .m_expires_at = expires_at});
    m_expiries.push_back({.m_at = expires_at, .m_entry = request.m_entry});
  }
  reply.m_level = m_level;
  const double missing = wanted - granted - m_level;
  if (granted < wanted && missing > 0) {
    const double wait = missing / std::max(m_limit.m_tokens_per_second, 1e-9);
    reply.m_retry_after = FromSeconds(std::min(wait, kMaxRetrySeconds));
  }
  return reply;
}

}  // namespace hickoryloft::limits
