#include "membership/placement_lease.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace hickoryloft::membership {

namespace {

// Renewals per lease TTL. With four, two renewals in a row may be lost.
constexpr int kRenewalsPerTtl = 4;

const Logger kLog("holder");

}  // namespace

PlacementLease::PlacementLease(EventLoop& loop,
                               keyvalue::KeyValueService& store,
                               std::string key,
                               HostId host,
                               PlacementLeaseTiming timing)
    : m_loop(loop),
      m_store(store),
      m_key(std::move(key)),
      m_host(std::move(host)),
      m_timing(timing) {}

void PlacementLease::Observe(bool key_exists, Duration patience) {
  if (key_exists) {
    m_attempt.reset();
    return;
  }
  if (m_ended || m_acquiring || held() || m_attempt) {
    return;
  }
  m_attempt = m_loop.After(patience, [this] {
    m_attempt.reset();
    RequestLease();
  });
}

bool PlacementLease::valid() const {
  const MonotonicTime now = m_loop.Now();
  const bool confirmed =
      m_restored_era == 0 || IsLeaseOf(m_restored_era, m_lease);
  return held() && confirmed && now >= m_valid_from && now < m_valid_until;
}

void PlacementLease::RequestLease() {
  m_acquiring = true;
  const MonotonicTime sent = m_loop.Now();
  m_store.GrantLease(m_timing.m_ttl,
                     [this, sent, alive = std::weak_ptr<int>(m_alive)](
                         const Result<keyvalue::LeaseReply>& reply) {
                       if (alive.expired()) {
                         return;
                       }
                       if (!reply.ok() || m_ended) {
                         m_acquiring = false;
                         return;
                       }
                       AcquireKey(reply.value().m_lease, sent);
                     });
}

void PlacementLease::AcquireKey(keyvalue::LeaseId lease, MonotonicTime sent) {
  m_store.Swap(
      {.m_key = m_key,
       .m_expected_revision = 0,
       .m_value = m_host.value(),
       .m_lease = lease},
      [this, lease, sent, alive = std::weak_ptr<int>(m_alive)](
          const Result<keyvalue::SwapReply>& reply) {
        if (alive.expired()) {
          return;
        }
        m_acquiring = false;
        if (!reply.ok() || !reply.value().m_swapped || m_ended) {
          // The reply may have been lost after the key was written.
          // Revoking the lease then removes the key, so that another
          // attempt can succeed.
          m_store.RevokeLease(lease, [](const Result<Done>& /*ended*/) {});
          return;
        }
        m_lease = lease;
        m_fence = reply.value().m_revision;
        m_valid_from =
            std::max(m_loop.Now(), m_earlier_leader_until) + m_timing.m_gap;
        m_valid_until = sent + m_timing.m_ttl - m_timing.m_margin;
        kLog.Info("placement lease won",
                  {{"fence", m_fence}, {"lease", LeaseNumber(m_lease)}});
        m_renewal =
            m_loop.Every(m_timing.m_ttl / kRenewalsPerTtl, [this] { Renew(); });
      });
}

void PlacementLease::Renew() {
  const MonotonicTime sent = m_loop.Now();
  if (sent >= m_valid_until) {
    Lose("lease not renewed within its TTL");
    return;
  }
  m_store.KeepAlive(m_lease, [this, sent, lease = m_lease,
                              alive = std::weak_ptr<int>(m_alive)](
                                 const Result<keyvalue::LeaseReply>& reply) {
    if (alive.expired() || lease != m_lease) {
      return;  // The lease was lost, or is kept under its new id by now.
    }
    if (reply.ok()) {
      m_valid_until =
          std::max(m_valid_until, sent + m_timing.m_ttl - m_timing.m_margin);
    } else if (reply.error().code() == ErrorCode::kNotFound) {
      ReadKey();
    }
  });
}

void PlacementLease::ReadKey() {
  m_store.Get(
      m_key, [this, lease = m_lease, alive = std::weak_ptr<int>(m_alive)](
                 const Result<keyvalue::ReadReply>& reply) {
        if (alive.expired() || lease != m_lease || !reply.ok()) {
          return;  // The next renewal reads the key again.
        }
        const auto& items = reply.value().m_items;
        if (items.empty() || !IsOwn(items.front()) ||
            items.front().m_lease == m_lease) {
          Lose("lease expired or revoked");
          return;
        }
        m_lease = items.front().m_lease;
        kLog.Info("placement lease kept over a restore of the service",
                  {{"fence", m_fence}, {"lease", LeaseNumber(m_lease)}});
        Renew();
      });
}

bool PlacementLease::IsOwn(const keyvalue::KeyValue& item) const {
  return item.m_value == m_host.value() &&
         LeaseNumber(item.m_lease) == LeaseNumber(m_lease) &&
         NumberIn(item.m_create_revision) == NumberIn(m_fence) &&
         item.m_mod_revision == item.m_create_revision;
}

void PlacementLease::ConfirmNow() {
  if (held()) {
    Renew();
  }
}

void PlacementLease::RecordRestore(Era era) {
  if (era <= m_restored_era) {
    return;
  }
  m_restored_era = era;
  const MonotonicTime now = m_loop.Now();
  if (held() && now < m_valid_until) {
    return;  // This host was the leader, so no other one was.
  }
  // The last renewal of the earlier leader was sent before the restore.
  m_earlier_leader_until = now + m_timing.m_ttl - m_timing.m_margin;
}

void PlacementLease::Lose(const std::string& reason) {
  kLog.Warn("placement lease lost", {{"fence", m_fence}, {"reason", reason}});
  m_fence = 0;
  m_renewal.reset();
  // The key may still exist. Revoking the lease removes it, so that another
  // host can take over without waiting for the TTL.
  m_store.RevokeLease(std::exchange(m_lease, 0),
                      [](const Result<Done>& /*ended*/) {});
}

void PlacementLease::End() {
  m_ended = true;
  m_attempt.reset();
  if (held()) {
    Lose("host is stopping");
  }
}

}  // namespace hickoryloft::membership
