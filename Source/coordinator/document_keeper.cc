// Freshness proofs and acknowledgements of DocumentKeeper. The handling of
// texts is in document_texts.cc.

#include "coordinator/document_keeper.h"

#include <algorithm>
#include <utility>

#include "coordinator/keys.h"
#include "wire/frame.h"

namespace hickoryloft::coordinator {

namespace {

constexpr Duration kTimerInterval = milliseconds(100);
// How often the first watcher of a failure domain reads the manifest.
constexpr Duration kManifestReadInterval = milliseconds(1600);
// How often the other hosts query a watcher whose next read time is not known.
constexpr Duration kQueryInterval = milliseconds(1000);
// A host queries a watcher this long after the watcher's next read, so that the
// reply has a new proof. With a different phase a proof could age until
// heartbeats are exchanged.
constexpr Duration kQueryDelayAfterRead = milliseconds(200);
constexpr Duration kMinQueryInterval = milliseconds(300);
constexpr Duration kQueryTimeout = milliseconds(400);
// After a failed query, other watchers are queried for at least this long.
constexpr Duration kFirstWatcherRetryDelay = seconds(10);
// Heartbeats are exchanged if the proof is this close to its freshness limit.
constexpr Duration kHeartbeatLead = milliseconds(350);
constexpr Duration kHeartbeatInterval = seconds(2);
constexpr Duration kHeartbeatTimeout = seconds(1);
// An acknowledgement query that cannot be answered in this time is dropped.
constexpr Duration kAckQueryTimeout = seconds(2);

}  // namespace

DocumentKeeper::DocumentKeeper(EventLoop& loop,
                               keyvalue::KeyValueService& key_values,
                               PeerMesh& peers,
                               const MemberView& view,
                               const Member& self,
                               DocumentSettings settings)
    : m_loop(loop),
      m_key_values(key_values),
      m_peers(peers),
      m_view(view),
      m_self(self),
      m_settings(settings),
      m_tracker(settings.m_freshness_limit) {}

void DocumentKeeper::Start() {
  m_timer = m_loop.Every(kTimerInterval, [this] { OnTimer(); });
  OnTimer();
}

void DocumentKeeper::OnMembersChanged() {
  m_tracker.SetMembers(m_view.Hosts(), m_view.digest(), m_self.m_host);
}

Duration DocumentKeeper::RemainingServingTime(MonotonicTime now) const {
  const auto until = m_tracker.ServeUntil();
  return until && *until > now ? *until - now : Duration::zero();
}

void DocumentKeeper::OnTimer() {
  const MonotonicTime now = m_loop.Now();
  if (IsWatcher()) {
    if (!m_watch && !m_watch_load_in_flight && now >= m_next_watch_at) {
      StartWatch();
    }
    ListUnlistedDocuments(now);
  } else {
    m_watch.reset();
  }
  PollFreshness(now);
  ExchangeHeartbeats(now);
  FetchMissingDocuments();
  AnswerAckQueries();
}

bool DocumentKeeper::IsManifestReader() const {
  if (m_view.Find(m_self.m_host) == nullptr) {
    return true;
  }
  const auto order = m_view.WatcherOrder(m_self.m_failure_domain);
  // The order omits leaving hosts, so it is empty if all hosts of the failure
  // domain are leaving.
  return order.empty() || order.front() == m_self.m_host;
}

bool DocumentKeeper::IsWatcher() const {
  return m_view.Find(m_self.m_host) == nullptr ||
         m_view.IsWatcher(m_self.m_host) || IsManifestReader();
}

void DocumentKeeper::PollFreshness(MonotonicTime now) {
  const bool reader = IsManifestReader();
  const bool no_watchers = OtherWatchers().empty();
  const bool should_read =
      reader || no_watchers || (IsWatcher() && m_query_failures > 0);
  if (should_read && !m_read_in_flight && now >= m_next_read_at) {
    m_next_read_at = now + kManifestReadInterval;
    ReadManifestKey();
  }
  // A reader also queries other watchers if the key-value service is slow.
  const bool read_is_slow =
      m_read_in_flight &&
      now >= m_next_read_at - kManifestReadInterval + kQueryTimeout;
  const bool should_query = !reader || m_read_failed || read_is_slow;
  if (should_query && !no_watchers && !m_query_in_flight &&
      now >= m_next_query_at) {
    m_next_query_at = now + kQueryInterval;
    QueryFreshness();
  }
}

void DocumentKeeper::ReadManifestKey() {
  m_read_in_flight = true;
  const MonotonicTime sent_at = m_loop.Now();
  const std::weak_ptr<bool> alive = m_alive;
  m_key_values.Get(kManifestKey, [this, alive,
                                  sent_at](const Result<keyvalue::ReadReply>&
                                               result) {
    if (alive.expired()) {
      return;
    }
    m_read_in_flight = false;
    m_read_failed = !result.ok();
    if (!result) {
      return;
    }
    try {
      const StoredManifest stored = ReadManifest(result.value());
      m_tracker.OnProof({stored.m_revision, sent_at});
      m_table.SetManifest(stored.m_manifest, stored.m_revision);
      ApplyDocuments();
    } catch (const Error& error) {
      m_log.Error(
          "The document manifest cannot be processed; it will be read again.",
          {{"reason", error.what()}});
    }
  });
}

// Returns the other hosts that are watchers, those of this host's failure
// domain first.
std::vector<HostId> DocumentKeeper::OtherWatchers() const {
  std::vector<HostId> sources;
  const auto add = [&](const FailureDomainId& domain) {
    const auto order = m_view.WatcherOrder(domain);
    const std::size_t count =
        std::min(order.size(), MemberView::kWatchersPerDomain);
    for (std::size_t i = 0; i < count; ++i) {
      if (order[i] != m_self.m_host) {
        sources.push_back(order[i]);
      }
    }
  };
  add(m_self.m_failure_domain);
  for (const FailureDomainId& domain : m_view.FailureDomains()) {
    if (domain != m_self.m_failure_domain) {
      add(domain);
    }
  }
  return sources;
}

void DocumentKeeper::QueryFreshness() {
  const std::vector<HostId> sources = OtherWatchers();
  const HostId& source = sources[m_query_failures % sources.size()];
  m_query_in_flight = true;
  const MonotonicTime sent_at = m_loop.Now();
  const std::weak_ptr<bool> alive = m_alive;
  m_peers.Request(
      source, wire::MakeEnvelope(wire::FreshnessQueryT{}), kQueryTimeout,
      [this, alive, source, sent_at](const Result<wire::EnvelopeT>& result) {
        if (alive.expired()) {
          return;
        }
        m_query_in_flight = false;
        const wire::FreshnessReplyT* reply =
            result ? result.value().body.AsFreshnessReply() : nullptr;
        if (reply != nullptr) {
          OnFreshnessReply(source, *reply, sent_at);
        }
        if (reply == nullptr || !reply->vouched) {
          ++m_query_failures;
          m_next_query_at = MonotonicTime{};
          m_first_watcher_retry_at = m_loop.Now() + kFirstWatcherRetryDelay;
        }
      });
}

void DocumentKeeper::OnFreshnessReply(const HostId& from,
                                      const wire::FreshnessReplyT& reply,
                                      MonotonicTime sent_at) {
  if (reply.members_digest != m_view.digest()) {
    m_on_member_view_mismatch(from);
  }
  if (!reply.vouched) {
    return;
  }
  m_tracker.OnProof(
      {reply.documents_revision, sent_at - milliseconds(reply.age_ms)});
  m_newest_reported_revision =
      std::max(m_newest_reported_revision, reply.documents_revision);
  const Duration until_read =
      kManifestReadInterval - milliseconds(reply.age_ms);
  m_next_query_at = m_loop.Now() + std::max(until_read + kQueryDelayAfterRead,
                                            kMinQueryInterval);
  if (m_loop.Now() >= m_first_watcher_retry_at) {
    m_query_failures = 0;
  }
}

void DocumentKeeper::OnFreshnessQuery(const Responder& respond) {
  wire::FreshnessReplyT reply;
  reply.members_digest = m_view.digest();
  if (const auto& proof = m_tracker.proof()) {
    const Duration age = m_loop.Now() - proof->m_began;
    // Rounded up, so that the querying host never considers the proof newer
    // than it is.
    reply.age_ms = static_cast<std::uint32_t>(ToMillis(age).count() + 1);
    reply.documents_revision = proof->m_revision;
    reply.vouched = age < m_settings.m_freshness_limit;
  }
  respond(wire::MakeEnvelope(std::move(reply)));
}

void DocumentKeeper::ExchangeHeartbeats(MonotonicTime now) {
  const auto& proof = m_tracker.proof();
  const bool aging =
      !proof ||
      now >= proof->m_began + m_settings.m_freshness_limit - kHeartbeatLead;
  if (!aging || now < m_next_heartbeat_at) {
    return;
  }
  m_next_heartbeat_at = now + kHeartbeatInterval;
  const std::weak_ptr<bool> alive = m_alive;
  for (const HostId& host : m_view.Hosts()) {
    if (host == m_self.m_host) {
      continue;
    }
    m_peers.Request(
        host, wire::MakeEnvelope(MakeHeartbeat()), kHeartbeatTimeout,
        [this, alive, host, now](const Result<wire::EnvelopeT>& result) {
          if (alive.expired() || !result) {
            return;
          }
          if (const auto* heartbeat = result.value().body.AsHeartbeat()) {
            m_tracker.OnHeartbeat(host, heartbeat->documents_revision,
                                  heartbeat->members_digest, now);
            m_newest_reported_revision = std::max(
                m_newest_reported_revision, heartbeat->documents_revision);
          }
        });
  }
}

void DocumentKeeper::OnHeartbeat(const HostId& /*from*/,
                                 const wire::HeartbeatT& heartbeat,
                                 const Responder& respond) {
  m_newest_reported_revision =
      std::max(m_newest_reported_revision, heartbeat.documents_revision);
  respond(wire::MakeEnvelope(MakeHeartbeat()));
}

wire::HeartbeatT DocumentKeeper::MakeHeartbeat() const {
  wire::HeartbeatT heartbeat;
  heartbeat.host = m_self.m_host.value();
  heartbeat.incarnation = m_self.m_incarnation;
  heartbeat.documents_revision = m_table.applied_revision();
  heartbeat.members_digest = m_view.digest();
  return heartbeat;
}

void DocumentKeeper::OnAckQuery(const HostId& /*from*/,
                                const wire::DocumentAckQueryT& query,
                                Responder respond) {
  m_newest_reported_revision =
      std::max(m_newest_reported_revision, query.revision);
  m_pending_ack_queries.push_back(
      {.m_revision = query.revision,
       .m_respond = std::move(respond),
       .m_expires_at = m_loop.Now() + kAckQueryTimeout});
  FetchMissingDocuments();
  AnswerAckQueries();
}

void DocumentKeeper::AnswerAckQueries() {
  const MonotonicTime now = m_loop.Now();
  const Revision applied = m_table.applied_revision();
  std::erase_if(m_pending_ack_queries, [&](const PendingAckQuery& ack) {
    if (applied < ack.m_revision) {
      return now >= ack.m_expires_at;
    }
    wire::DocumentAckT reply;
    reply.revision = applied;
    reply.members_digest = m_view.digest();
    ack.m_respond(wire::MakeEnvelope(std::move(reply)));
    return true;
  });
}

}  // namespace hickoryloft::coordinator
