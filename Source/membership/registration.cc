#include "membership/registration.h"

#include <utility>

#include "base/history.h"
#include "base/log.h"

namespace hickoryloft::membership {

namespace {

constexpr Duration kRetryPause = milliseconds(300);
// Renewals per lease TTL. With three, one renewal may be lost.
constexpr int kRenewalsPerTtl = 3;

const Logger kLog("membership");

}  // namespace

Registration::Registration(EventLoop& loop,
                           keyvalue::KeyValueService& store,
                           std::string key,
                           std::string value,
                           Duration ttl)
    : m_loop(loop),
      m_store(store),
      m_key(std::move(key)),
      m_value(std::move(value)),
      m_ttl(ttl) {}

void Registration::Start() {
  RequestLease();
}

void Registration::RequestLease() {
  if (m_ended) {
    return;
  }
  m_store.GrantLease(m_ttl, [this, alive = std::weak_ptr<int>(m_alive)](
                                const Result<keyvalue::LeaseReply>& reply) {
    if (alive.expired() || m_ended) {
      return;
    }
    if (!reply.ok()) {
      ScheduleRetry(reply.error());
      return;
    }
    m_lease = reply.value().m_lease;
    WriteKey(/*expected=*/0);
  });
}

void Registration::WriteKey(Revision expected) {
  m_store.Swap({.m_key = m_key,
                .m_expected_revision = expected,
                .m_value = m_value,
                .m_lease = m_lease},
               [this, expected, alive = std::weak_ptr<int>(m_alive)](
                   const Result<keyvalue::SwapReply>& reply) {
                 if (alive.expired() || m_ended) {
                   return;
                 }
                 if (!reply.ok()) {
                   ScheduleRetry(reply.error());
                   return;
                 }
                 const auto& current = reply.value().m_current;
                 if (!reply.value().m_swapped &&
                     (!current || current->m_lease != m_lease)) {
                   if (current && expected == 0) {
                     // The key is this host's own, under an earlier lease: that
                     // of a write whose reply was lost, or of before a restore.
                     WriteKey(current->m_mod_revision);
                     return;
                   }
                   ScheduleRetry(Error(ErrorCode::kConflict,
                                       "the key has changed in the meantime"));
                   return;
                 }
                 m_registered = true;
                 kLog.Info("host registered",
                           {{"key", m_key}, {"lease", LeaseNumber(m_lease)}});
                 m_timer =
                     m_loop.Every(m_ttl / kRenewalsPerTtl, [this] { Renew(); });
               });
}

void Registration::Renew() {
  m_store.KeepAlive(
      m_lease, [this, lease = m_lease, alive = std::weak_ptr<int>(m_alive)](
                   const Result<keyvalue::LeaseReply>& reply) {
        if (alive.expired() || m_ended || !m_registered || lease != m_lease ||
            reply.ok() || reply.error().code() != ErrorCode::kNotFound) {
          return;
        }
        kLog.Warn("host registration expired; registering again",
                  {{"key", m_key}, {"lease", LeaseNumber(m_lease)}});
        m_timer.reset();
        m_registered = false;
        RequestLease();
      });
}

void Registration::ConfirmNow() {
  if (m_registered && !m_ended) {
    Renew();
  }
}

void Registration::ScheduleRetry(const Error& error) {
  kLog.Warn("host registration failed; retrying",
            {{"key", m_key}, {"reason", error.what()}});
  m_timer = m_loop.After(kRetryPause, [this] { RequestLease(); });
}

void Registration::End(std::function<void()> done) {
  m_ended = true;
  m_timer.reset();
  if (m_lease == 0) {
    done();
    return;
  }
  m_store.RevokeLease(
      m_lease, [done = std::move(done)](const Result<Done>& reply) {
        if (!reply.ok()) {
          kLog.Warn("lease revocation failed; the lease expires after its TTL",
                    {{"reason", reply.error().what()}});
        }
        done();
      });
}

}  // namespace hickoryloft::membership
