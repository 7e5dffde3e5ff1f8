#include "coordinator/lease_keeper.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "coordinator/keys.h"

namespace hickoryloft::coordinator {

namespace {

constexpr Duration kStepInterval = milliseconds(250);
constexpr Duration kRetryInterval = milliseconds(1000);
// Number of renewals within one time to live.
constexpr int kShortRenewalsPerTtl = 3;
constexpr int kLongRenewalsPerTtl = 10;

}  // namespace

LeaseKeeper::LeaseKeeper(EventLoop& loop,
                         keyvalue::KeyValueService& key_values,
                         Member self,
                         LeaseSettings settings,
                         Callbacks callbacks)
    : m_loop(loop),
      m_key_values(key_values),
      m_self(std::move(self)),
      m_settings(settings),
      m_callbacks(std::move(callbacks)) {
  m_short.m_key = MemberKey(m_self.m_host, m_self.m_incarnation);
}

void LeaseKeeper::Start() {
  m_step_timer = m_loop.Every(kStepInterval, [this] { Step(); });
  Step();
  DeleteEarlierRunKeys();
}

void LeaseKeeper::DeleteEarlierRunKeys() {
  const std::weak_ptr<bool> alive = m_alive;
  m_key_values.GetPrefix(
      kLongLeasePrefix + m_self.m_host.value() + "/",
      [this, alive](const Result<keyvalue::ReadReply>& result) {
        if (alive.expired()) {
          return;
        }
        if (!result) {
          m_delete_retry_timer =
              m_loop.After(kRetryInterval, [this] { DeleteEarlierRunKeys(); });
          return;
        }
        for (const keyvalue::KeyValue& item : result.value().m_items) {
          DeleteIfEarlierRun(item);
        }
      });
}

void LeaseKeeper::DeleteIfEarlierRun(const keyvalue::KeyValue& item) {
  const auto value =
      nlohmann::json::parse(item.m_value, nullptr, /*exceptions=*/false);
  const auto own = nlohmann::json::parse(LongLeaseValue());
  const auto same = [&](const char* key) {
    return value.is_object() && value.contains(key) && value[key] == own[key];
  };
  if (!same("address") || !same("port") || same("incarnation")) {
    return;
  }
  m_log.Info("Deleting the long-lease key of an earlier run of this host.",
             {{"key", item.m_key}});
  // If this fails, the key is still deleted when its lease expires.
  m_key_values.Swap({.m_key = item.m_key,
                     .m_expected_revision = item.m_mod_revision,
                     .m_value = std::nullopt},
                    [](const Result<keyvalue::SwapReply>&) {});
}

void LeaseKeeper::SetLeaving() {
  m_self.m_leaving = true;
  Step();
}

void LeaseKeeper::Revoke(std::function<void()> done) {
  m_stopped = true;
  m_step_timer.reset();
  auto pending_calls = std::make_shared<int>(0);
  const auto finish = [pending_calls,
                       done = std::move(done)](const Result<Done>&) {
    if (--*pending_calls == 0) {
      done();
    }
  };
  *pending_calls = 2;
  for (const LeaseState* state : {&m_short, &m_long}) {
    if (state->m_lease == 0) {
      finish(Done{});
    } else {
      m_key_values.RevokeLease(state->m_lease, finish);
    }
  }
}

void LeaseKeeper::Step() {
  if (m_stopped) {
    return;
  }
  const MonotonicTime now = m_loop.Now();
  StepLong(now);
  StepShort(now);
}

void LeaseKeeper::StepLong(MonotonicTime now) {
  if (m_long.m_call_pending || now < m_long.m_next_call_at) {
    return;
  }
  if (m_long.m_lease == 0) {
    Grant(m_long, m_settings.m_long_ttl);
  } else if (!m_long.m_registered) {
    m_long.m_key = LongLeaseKey(m_self.m_host, m_long.m_lease);
    Register(m_long, LongLeaseValue(), m_callbacks.m_long_renewed);
  } else {
    Renew(m_long, m_settings.m_long_ttl / kLongRenewalsPerTtl,
          m_callbacks.m_long_renewed, m_callbacks.m_long_lost);
  }
}

void LeaseKeeper::StepShort(MonotonicTime now) {
  if (m_short.m_call_pending || !m_long.m_registered) {
    return;
  }
  const bool outdated =
      m_short.m_lease != 0 && m_short.m_value != MemberValue();
  if (now < m_short.m_next_call_at && !(m_short.m_registered && outdated)) {
    return;
  }
  if (m_short.m_lease == 0) {
    Grant(m_short, m_settings.m_short_ttl);
  } else if (!m_short.m_registered || outdated) {
    Register(m_short, MemberValue(), m_callbacks.m_short_renewed);
  } else {
    Renew(m_short, m_settings.m_short_ttl / kShortRenewalsPerTtl,
          m_callbacks.m_short_renewed, m_callbacks.m_short_lost);
  }
}

void LeaseKeeper::Grant(LeaseState& state, Duration ttl) {
  state.m_call_pending = true;
  const MonotonicTime sent_at = m_loop.Now();
  const std::weak_ptr<bool> alive = m_alive;
  m_key_values.GrantLease(ttl, [this, alive, &state, sent_at](
                                   const Result<keyvalue::LeaseReply>& result) {
    if (alive.expired()) {
      return;
    }
    state.m_call_pending = false;
    if (!result) {
      state.m_next_call_at = m_loop.Now() + kRetryInterval;
      m_log.Warn("Cannot acquire a lease; retrying.",
                 {{"reason", result.error().what()}});
      return;
    }
    state.m_lease = result.value().m_lease;
    state.m_grant_sent_at = sent_at;
    state.m_registered = false;
    state.m_next_call_at = MonotonicTime{};
    Step();
  });
}

void LeaseKeeper::Register(
    LeaseState& state,
    const std::string& value,
    const std::function<void(keyvalue::LeaseId, MonotonicTime)>& registered) {
  state.m_call_pending = true;
  const std::weak_ptr<bool> alive = m_alive;
  m_key_values.Swap({state.m_key, state.m_revision, value, state.m_lease},
                    [this, alive, &state, value,
                     &registered](const Result<keyvalue::SwapReply>& result) {
                      if (alive.expired()) {
                        return;
                      }
                      state.m_call_pending = false;
                      OnRegistered(state, value, result, registered);
                    });
}

void LeaseKeeper::OnRegistered(
    LeaseState& state,
    const std::string& value,
    const Result<keyvalue::SwapReply>& result,
    const std::function<void(keyvalue::LeaseId, MonotonicTime)>& registered) {
  if (!result) {
    m_log.Warn("Cannot write a key that is bound to a lease; retrying.",
               {{"key", state.m_key}, {"reason", result.error().what()}});
    state.m_next_call_at = m_loop.Now() + kRetryInterval;
    if (result.error().code() == ErrorCode::kNotFound) {
      state.m_lease = 0;
    }
    return;
  }
  const keyvalue::SwapReply& reply = result.value();
  if (reply.m_swapped) {
    state.m_revision = reply.m_revision;
    state.m_value = value;
    if (!std::exchange(state.m_registered, true)) {
      registered(state.m_lease, state.m_grant_sent_at);
    }
    Step();
    return;
  }
  // Only this run of the host writes the key, so either an earlier write was
  // applied or the key was deleted when its lease expired. Retries with the
  // key's current revision.
  state.m_revision = reply.m_current ? reply.m_current->m_mod_revision : 0;
  state.m_next_call_at = MonotonicTime{};
}

void LeaseKeeper::Renew(
    LeaseState& state,
    Duration interval,
    const std::function<void(keyvalue::LeaseId, MonotonicTime)>& renewed,
    const std::function<void()>& lost) {
  state.m_call_pending = true;
  const MonotonicTime sent_at = m_loop.Now();
  const std::weak_ptr<bool> alive = m_alive;
  m_key_values.KeepAlive(
      state.m_lease, [this, alive, &state, interval, sent_at, &renewed,
                      &lost](const Result<keyvalue::LeaseReply>& result) {
        if (alive.expired()) {
          return;
        }
        state.m_call_pending = false;
        if (result) {
          state.m_next_call_at = sent_at + interval;
          renewed(state.m_lease, sent_at);
        } else if (result.error().code() == ErrorCode::kNotFound) {
          OnLeaseLost(state, lost);
        } else {
          state.m_next_call_at = m_loop.Now() + kRetryInterval;
        }
      });
}

void LeaseKeeper::OnLeaseLost(LeaseState& state,
                              const std::function<void()>& lost) {
  m_log.Warn(
      "A lease has expired or was revoked; acquiring a new one unless this "
      "host is stopping.",
      {{"key", state.m_key}});
  state.m_lease = 0;
  state.m_registered = false;
  state.m_revision = 0;
  state.m_value.clear();
  state.m_next_call_at = MonotonicTime{};
  lost();
}

std::string LeaseKeeper::LongLeaseValue() const {
  return nlohmann::json{{"incarnation", m_self.m_incarnation},
                        {"address", m_self.m_address},
                        {"port", m_self.m_port}}
      .dump();
}

std::string LeaseKeeper::MemberValue() const {
  return FormatMemberRecord({.m_member = m_self,
                             .m_lease = m_short.m_lease,
                             .m_long_lease = m_long.m_lease});
}

}  // namespace hickoryloft::coordinator
