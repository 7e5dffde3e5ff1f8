#include "coordinator/lease_keeper.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "coordinator/keys.h"

namespace hickoryloft::coordinator {

namespace {

constexpr Duration kStepInterval = milliseconds(250);
constexpr Duration kRetryInterval = milliseconds(1000);
// Number of renewals within one time to live.
constexpr int kShortRenewals = 3;
constexpr int kLongRenewals = 10;

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
  m_timer = m_loop.Every(kStepInterval, [this] { Step(); });
  Step();
  DeleteEarlierRuns();
}

void LeaseKeeper::DeleteEarlierRuns() {
  const std::weak_ptr<bool> alive = m_alive;
  m_key_values.GetPrefix(
      kStandingPrefix + m_self.m_host.value() + "/",
      [this, alive](const Result<keyvalue::ReadReply>& result) {
        if (alive.expired()) {
          return;
        }
        if (!result) {
          m_delete_timer =
              m_loop.After(kRetryInterval, [this] { DeleteEarlierRuns(); });
          return;
        }
        for (const keyvalue::KeyValue& standing : result.value().m_items) {
          DeleteIfEarlier(standing);
        }
      });
}

void LeaseKeeper::DeleteIfEarlier(const keyvalue::KeyValue& standing) {
  const auto value =
      nlohmann::json::parse(standing.m_value, nullptr, /*exceptions=*/false);
  const auto own = nlohmann::json::parse(StandingValue());
  const auto same = [&](const char* key) {
    return value.is_object() && value.contains(key) && value[key] == own[key];
  };
  if (!same("address") || !same("port") || same("incarnation")) {
    return;
  }
  m_log.Info("Deleting the long-lease key of an earlier run of this host.",
             {{"key", standing.m_key}});
  // If this fails, the key is still deleted when its lease expires.
  m_key_values.Swap({.m_key = standing.m_key,
                     .m_expected_revision = standing.m_mod_revision,
                     .m_value = std::nullopt},
                    [](const Result<keyvalue::SwapReply>&) {});
}

void LeaseKeeper::SetLeaving() {
  m_self.m_leaving = true;
  Step();
}

void LeaseKeeper::Revoke(std::function<void()> done) {
  m_stopped = true;
  m_timer.reset();
  auto open = std::make_shared<int>(0);
  const auto finish = [open, done = std::move(done)](const Result<Done>&) {
    if (--*open == 0) {
      done();
    }
  };
  *open = 2;
  for (const Holding* holding : {&m_short, &m_long}) {
    if (holding->m_lease == 0) {
      finish(Done{});
    } else {
      m_key_values.RevokeLease(holding->m_lease, finish);
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
  if (m_long.m_busy || now < m_long.m_renew_at) {
    return;
  }
  if (m_long.m_lease == 0) {
    Grant(m_long, m_settings.m_long_ttl);
  } else if (!m_long.m_registered) {
    m_long.m_key = StandingKey(m_self.m_host, m_long.m_lease);
    Register(m_long, StandingValue(), m_callbacks.m_long);
  } else {
    Renew(m_long, m_settings.m_long_ttl / kLongRenewals, m_callbacks.m_long,
          m_callbacks.m_long_lost);
  }
}

void LeaseKeeper::StepShort(MonotonicTime now) {
  if (m_short.m_busy || !m_long.m_registered) {
    return;
  }
  const bool outdated =
      m_short.m_lease != 0 && m_short.m_value != MemberValue();
  if (now < m_short.m_renew_at && !(m_short.m_registered && outdated)) {
    return;
  }
  if (m_short.m_lease == 0) {
    Grant(m_short, m_settings.m_short_ttl);
  } else if (!m_short.m_registered || outdated) {
    Register(m_short, MemberValue(), m_callbacks.m_short);
  } else {
    Renew(m_short, m_settings.m_short_ttl / kShortRenewals, m_callbacks.m_short,
          m_callbacks.m_short_lost);
  }
}

void LeaseKeeper::Grant(Holding& holding, Duration ttl) {
  holding.m_busy = true;
  const MonotonicTime sent_at = m_loop.Now();
  const std::weak_ptr<bool> alive = m_alive;
  m_key_values.GrantLease(ttl, [this, alive, &holding, sent_at](
                                   const Result<keyvalue::LeaseReply>& result) {
    if (alive.expired()) {
      return;
    }
    holding.m_busy = false;
    if (!result) {
      holding.m_renew_at = m_loop.Now() + kRetryInterval;
      m_log.Warn("Cannot acquire a lease; retrying.",
                 {{"reason", result.error().what()}});
      return;
    }
    holding.m_lease = result.value().m_lease;
    holding.m_granted_at = sent_at;
    holding.m_registered = false;
    holding.m_renew_at = MonotonicTime{};
    Step();
  });
}

void LeaseKeeper::Register(
    Holding& holding,
    const std::string& value,
    const std::function<void(keyvalue::LeaseId, MonotonicTime)>& registered) {
  holding.m_busy = true;
  const std::weak_ptr<bool> alive = m_alive;
  m_key_values.Swap({holding.m_key, holding.m_revision, value, holding.m_lease},
                    [this, alive, &holding, value,
                     &registered](const Result<keyvalue::SwapReply>& result) {
                      if (alive.expired()) {
                        return;
                      }
                      holding.m_busy = false;
                      OnRegistered(holding, value, result, registered);
                    });
}

void LeaseKeeper::OnRegistered(
    Holding& holding,
    const std::string& value,
    const Result<keyvalue::SwapReply>& result,
    const std::function<void(keyvalue::LeaseId, MonotonicTime)>& registered) {
  if (!result) {
    m_log.Warn("Cannot write a key that is bound to a lease; retrying.",
               {{"key", holding.m_key}, {"reason", result.error().what()}});
    holding.m_renew_at = m_loop.Now() + kRetryInterval;
    if (result.error().code() == ErrorCode::kNotFound) {
      holding.m_lease = 0;
    }
    return;
  }
  const keyvalue::SwapReply& reply = result.value();
  if (reply.m_swapped) {
    holding.m_revision = reply.m_revision;
    holding.m_value = value;
    if (!std::exchange(holding.m_registered, true)) {
      registered(holding.m_lease, holding.m_granted_at);
    }
    Step();
    return;
  }
  // Only this run of the host writes the key, so either an earlier write was
  // applied or the key was deleted when its lease expired. Retries with the
  // key's current revision.
  holding.m_revision = reply.m_current ? reply.m_current->m_mod_revision : 0;
  holding.m_renew_at = MonotonicTime{};
}

void LeaseKeeper::Renew(
    Holding& holding,
    Duration interval,
    const std::function<void(keyvalue::LeaseId, MonotonicTime)>& renewed,
    const std::function<void()>& lost) {
  holding.m_busy = true;
  const MonotonicTime sent_at = m_loop.Now();
  const std::weak_ptr<bool> alive = m_alive;
  m_key_values.KeepAlive(
      holding.m_lease, [this, alive, &holding, interval, sent_at, &renewed,
                        &lost](const Result<keyvalue::LeaseReply>& result) {
        if (alive.expired()) {
          return;
        }
        holding.m_busy = false;
        if (result) {
          holding.m_renew_at = sent_at + interval;
          renewed(holding.m_lease, sent_at);
        } else if (result.error().code() == ErrorCode::kNotFound) {
          Drop(holding, lost);
        } else {
          holding.m_renew_at = m_loop.Now() + kRetryInterval;
        }
      });
}

void LeaseKeeper::Drop(Holding& holding, const std::function<void()>& lost) {
  m_log.Warn(
      "A lease has expired or was revoked; acquiring a new one unless this "
      "host is stopping.",
      {{"key", holding.m_key}});
  holding.m_lease = 0;
  holding.m_registered = false;
  holding.m_revision = 0;
  holding.m_value.clear();
  holding.m_renew_at = MonotonicTime{};
  lost();
}

std::string LeaseKeeper::StandingValue() const {
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
