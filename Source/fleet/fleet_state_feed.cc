#include "fleet/fleet_state_feed.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

#include "base/history.h"
#include "base/log.h"
#include "http/header_fields.h"

namespace hickoryloft::fleet {

namespace {

constexpr Duration kRetryPause = milliseconds(200);
constexpr Duration kLapseCheckInterval = milliseconds(200);
// A call that asks for no wait is answered within this time, also by a slow
// service.
constexpr Duration kAnswerLimit = milliseconds(600);
// Running endpoints register again within about two seconds after an outage
// ends; the check interval covers the rest.
constexpr Duration kReregistrationPeriod = milliseconds(1800);

// A host that has not run its timers for this long was suspended, or too busy
// to read answers.
constexpr Duration kSuspensionGap = seconds(1);

// The host resumes its own watch when no proof has arrived for this long: a few
// report intervals, and well within the bounds on leaving endpoints and
// withdrawn keys.
constexpr Duration kProofTimeout = milliseconds(800);

// Where a change was received from, for the log.
constexpr char kFromWatch[] = "own watch";
constexpr char kFromHosts[] = "other hosts";

const Logger kLog("knowledge");

// Returns what a registration that was made or removed after `complete_until`
// says about the departure of its endpoint.
Departure DepartureAfter(std::optional<MonotonicTime> complete_until,
                         std::optional<Duration> notice) {
  return {.m_registered_after = complete_until.value_or(MonotonicTime::min()),
          .m_notice = notice};
}

}  // namespace

FleetStateFeed::FleetStateFeed(EventLoop& loop,
                               keyvalue::KeyValueService& store,
                               const FleetDecoder& decoder,
                               Events events)
    : m_loop(loop),
      m_store(store),
      m_decoder(decoder),
      m_events(std::move(events)),
      m_evacuation(decoder, m_directory, [this](const EndpointId& id) {
        m_events.m_endpoint_changed(id);
      }) {}

void FleetStateFeed::Start() {
  m_lapse_timer = m_loop.Every(kLapseCheckInterval, [this] { RemoveLapsed(); });
  m_asking_since = m_loop.Now();
  m_running_at = m_loop.Now();
  ReadAll();
}

void FleetStateFeed::ReadAll() {
  if (std::exchange(m_reading, true)) {
    return;
  }
  m_watch.reset();
  m_retry.reset();
  if (m_proof_timer) {
    m_proof_timer.reset();
    m_asking_since = m_loop.Now();
  }
  m_store.GetPrefix("", [this](const Result<keyvalue::ReadReply>& reply) {
    m_reading = false;
    if (!reply.ok()) {
      kLog.Warn("reading the key-value service failed; retrying",
                {{"reason", reply.error().what()}});
      m_retry = m_loop.After(kRetryPause, [this] { ReadAll(); });
      return;
    }
    ApplySnapshot(reply.value());
  });
}

bool FleetStateFeed::ObserveEra(Era era) {
  if (!m_complete || era <= EraOf(m_revision)) {
    return false;
  }
  ReadAll();
  return true;
}

void FleetStateFeed::ObserveConfiguration(std::int64_t version, Revision at) {
  if (!m_configuration || version <= m_configuration->version() ||
      version <= m_lost_version || at == 0 || at > m_revision) {
    return;
  }
  m_lost_version = version;
  kLog.Warn(
      "another host has a newer configuration, which the key-value service has "
      "lost; rejecting what the present one may allow by mistake",
      {{"configuration", m_configuration->version()},
       {"version", version},
       {"revision", DescribeRevision(m_revision)}});
}

bool FleetStateFeed::LacksLostConfiguration() const {
  return m_configuration && m_configuration->version() < m_lost_version;
}

void FleetStateFeed::ApplySnapshot(const keyvalue::ReadReply& reply) {
  const auto complete_until =
      m_complete ? std::optional(m_current_as_of) : std::nullopt;
  RecordProof(reply.m_current_as_of);
  const bool restored =
      m_complete && EraOf(reply.m_revision) > EraOf(m_revision);
  if (restored) {
    kLog.Warn("key-value service was restored; its copy replaces this host's",
              {{"revision", DescribeRevision(m_revision)},
               {"era", EraOf(reply.m_revision)}});
    // What running endpoints wrote since the copy is written again.
    m_recovered_at = m_loop.Now();
  }
  std::unordered_set<EndpointId> present;
  std::vector<keyvalue::KeyValue> evacuations;
  std::map<std::string, keyvalue::KeyValue> own_keys;
  for (const keyvalue::KeyValue& item : reply.m_items) {
    switch (m_decoder.Classify(item.m_key)) {
      case ItemClass::kConfiguration:
        ApplyConfiguration(item);
        break;
      case ItemClass::kEndpoint:
        present.insert(m_decoder.EndpointOf(item.m_key));
        ApplyEndpoint(item, complete_until);
        break;
      case ItemClass::kEvacuation:
        evacuations.push_back(item);
        break;
      case ItemClass::kOther:
        own_keys.emplace(item.m_key, item);
        break;
    }
  }
  RemoveMissing(present, complete_until,
                restored ? EndpointDirectory::Absence::kHistoryLost
                         : EndpointDirectory::Absence::kRemoved);
  m_evacuation.ReplaceAll(
      evacuations,
      restored ? std::optional(m_loop.Now() + kReregistrationPeriod)
               : std::nullopt,
      KnowledgeFrom(kFromWatch, complete_until));
  m_own_keys = std::move(own_keys);
  m_revision = reply.m_revision;
  m_complete = m_complete || m_configuration != nullptr;
  kLog.Info("read all keys of the key-value service",
            {{"revision", DescribeRevision(reply.m_revision)},
             {"endpoints", static_cast<std::uint64_t>(present.size())},
             {"own_keys", static_cast<std::uint64_t>(m_own_keys.size())}});
  m_events.m_own_keys_changed();
  BeginWatch(reply.m_revision);
}

void FleetStateFeed::RemoveMissing(
    const std::unordered_set<EndpointId>& present,
    std::optional<MonotonicTime> complete_until,
    EndpointDirectory::Absence absence) {
  for (const auto& [id, started_at_ms] : m_directory.RetainOnly(
           present, m_complete ? LapseDeadline() : std::nullopt, absence)) {
    kLog.Info("endpoint removed", {{"endpoint", id.value()}});
    m_departures.Record(id, started_at_ms,
                        DepartureAfter(complete_until, std::nullopt));
    m_events.m_endpoint_changed(id);
  }
}

void FleetStateFeed::BeginWatch(Revision revision) {
  m_watch = m_store.WatchPrefix(
      "", revision,
      [this](const keyvalue::WatchBatch& batch) { ApplyBatch(batch); },
      [this](const Error& error) {
        kLog.Warn(
            "watch of the key-value service ended; reading all keys again",
            {{"reason", error.what()}});
        m_retry = m_loop.After(Duration{}, [this] { ReadAll(); });
      });
  SetBatchPause(m_batch_pause);
  SetPollWait(m_poll_wait);
}

void FleetStateFeed::SetPollWait(Duration wait) {
  m_poll_wait = wait;
  UpdatePollWait();
}

void FleetStateFeed::UpdatePollWait() {
  if (m_watch) {
    const Duration left = m_current_as_of + m_batch_pause + m_poll_wait -
                          std::max(m_next_call_at, m_loop.Now());
    m_watch->SetPollWait(ToMillis(std::clamp(left, Duration{}, m_poll_wait)));
  }
}

void FleetStateFeed::SetBatchPause(Duration pause) {
  m_batch_pause = pause;
  if (m_watch) {
    m_watch->SetBatchPause(pause);
  }
}

void FleetStateFeed::ApplyBatch(const keyvalue::WatchBatch& batch) {
  const MonotonicTime complete_until = m_current_as_of;
  RecordProof(batch.m_current_as_of);
  const Revision from = m_revision;
  ApplyEvents(batch.m_events, batch.m_revision, complete_until, kFromWatch);
  if (m_events.m_batch_applied) {
    m_events.m_batch_applied(from, batch);
  }
  m_next_call_at =
      m_loop.Now() + (batch.m_events.empty() ? Duration{} : m_batch_pause);
  UpdatePollWait();
}

void FleetStateFeed::ApplyChanges(const ChangeSpan& span) {
  if (!m_watch || span.m_from > m_revision) {
    return;  // This host's watch or a later span has the changes.
  }
  ApplyEvents(span.m_events, span.m_to, m_current_as_of, kFromHosts);
  if (span.m_read_from_service) {
    ResumeWatch("a change is too large to be forwarded between hosts");
  }
}

void FleetStateFeed::ApplyProof(Revision revision, MonotonicTime as_of) {
  // An older proof does not replace a watch, since the host that sent it may be
  // disconnected from the service.
  const Duration time_left = as_of + m_max_relayed_age - m_loop.Now();
  if (!m_watch || !m_complete || revision > m_revision ||
      EraOf(revision) != EraOf(m_revision) || time_left <= Duration{}) {
    return;
  }
  RecordProof(as_of);
  if (!m_proof_timer) {
    kLog.Info(
        "receiving changes from other hosts; watch of the key-value service "
        "paused",
        {{"revision", DescribeRevision(m_revision)}});
  }
  m_watch->Pause(m_revision);
  m_proof_timer = m_loop.After(std::min(kProofTimeout, time_left), [this] {
    ResumeWatch("no recent proof from another host");
  });
}

void FleetStateFeed::ResumeWatch(const std::string& reason) {
  if (!m_proof_timer) {
    return;
  }
  m_proof_timer.reset();
  m_asking_since = m_loop.Now();
  kLog.Info("watch of the key-value service resumed",
            {{"reason", reason},
             {"revision", DescribeRevision(m_revision)},
             {"view_age_ms", ToMillis(Age()).count()}});
  // The first answer comes without a wait and shows that the service works.
  m_watch->SetPollWait(Duration{});
  m_watch->Resume(m_revision);
}

void FleetStateFeed::ApplyEvents(
    const std::vector<keyvalue::WatchEvent>& events,
    Revision revision,
    MonotonicTime complete_until,
    const char* source) {
  bool own_keys_changed = false;
  for (const keyvalue::WatchEvent& event : events) {
    // A change may arrive both from the watch and from other hosts.
    if (event.m_item.m_mod_revision <= m_revision) {
      continue;
    }
    own_keys_changed |=
        m_decoder.Classify(event.m_item.m_key) == ItemClass::kOther;
    ApplyEvent(event, complete_until, source);
  }
  m_revision = std::max(m_revision, revision);
  if (own_keys_changed) {
    m_events.m_own_keys_changed();
  }
}

EvacuationControl::Knowledge FleetStateFeed::KnowledgeFrom(
    const char* source,
    std::optional<MonotonicTime> complete_until) const {
  return {.m_now = m_loop.Now(),
          .m_complete_until = complete_until,
          .m_configuration = m_configuration.get(),
          .m_source = source};
}

void FleetStateFeed::ApplyEvent(const keyvalue::WatchEvent& event,
                                MonotonicTime complete_until,
                                const char* source) {
  const keyvalue::KeyValue& item = event.m_item;
  switch (m_decoder.Classify(item.m_key)) {
    case ItemClass::kConfiguration:
      if (!event.m_deleted) {
        ApplyConfiguration(item);
      }
      break;
    case ItemClass::kEndpoint: {
      const EndpointId id = m_decoder.EndpointOf(item.m_key);
      if (event.m_deleted) {
        ApplyEndpointRemoval(item, complete_until, source);
      } else if (!ApplyEndpoint(item, complete_until)) {
        break;
      }
      m_events.m_endpoint_changed(id);
      break;
    }
    case ItemClass::kEvacuation:
      if (event.m_deleted) {
        m_evacuation.Remove(item, KnowledgeFrom(source, complete_until));
      } else {
        m_evacuation.Put(item, KnowledgeFrom(source, complete_until));
      }
      break;
    case ItemClass::kOther:
      if (event.m_deleted) {
        m_own_keys.erase(item.m_key);
      } else {
        m_own_keys.insert_or_assign(item.m_key, item);
      }
      break;
  }
}

void FleetStateFeed::ApplyConfiguration(const keyvalue::KeyValue& item) {
  try {
    Configuration configuration = m_decoder.DecodeConfiguration(item.m_value);
    if (m_configuration &&
        configuration.m_version <= m_configuration->version()) {
      return;
    }
    const std::int64_t version = configuration.m_version;
    m_configuration =
        std::make_shared<const ConfigurationView>(std::move(configuration));
    kLog.Info("configuration in force",
              {{"version", version},
               {"revision", DescribeRevision(item.m_mod_revision)}});
    m_complete = true;
    m_events.m_configuration_changed();
  } catch (const Error& error) {
    kLog.Error("configuration unreadable; the previous one stays in force",
               {{"reason", error.what()},
                {"revision", DescribeRevision(item.m_mod_revision)}});
  }
}

void FleetStateFeed::ApplyEndpointRemoval(const keyvalue::KeyValue& item,
                                          MonotonicTime complete_until,
                                          const char* source) {
  const EndpointId id = m_decoder.EndpointOf(item.m_key);
  const EndpointEntry* entry = m_directory.Find(id);
  const std::int64_t started_at_ms =
      entry == nullptr ? 0 : entry->m_started_at_ms;
  const auto change = m_directory.Remove(id, LapseDeadline());
  if (change == EndpointDirectory::Change::kRemoved) {
    m_departures.Record(id, started_at_ms,
                        DepartureAfter(complete_until, std::nullopt));
  }
  kLog.Info(change == EndpointDirectory::Change::kLapsed
                ? "endpoint registration lapsed; kept for a grace period"
                : "endpoint removed",
            {{"endpoint", id.value()},
             {"revision", DescribeRevision(item.m_mod_revision)},
             {"source", source},
             {"view_age_ms", ToMillis(Age()).count()}});
}

bool FleetStateFeed::ApplyEndpoint(
    const keyvalue::KeyValue& item,
    std::optional<MonotonicTime> complete_until) {
  try {
    EndpointEntry entry = m_decoder.DecodeEndpoint(item);
    const std::string id = entry.m_id.value();
    if (!http::IsFieldValue(id)) {
      throw Error(ErrorCode::kProtocol,
                  "the id of entry " + item.m_key + " must be printable text");
    }
    const bool draining = entry.m_state == EndpointState::kDraining;
    entry.m_cold_until = m_loop.Now() + entry.m_cold_for.value_or(Duration{});
    const std::int64_t started_at_ms = entry.m_started_at_ms;
    const Departure departure =
        DepartureAfter(complete_until, entry.m_remaining);
    const auto change = m_directory.Put(std::move(entry));
    if (change == EndpointDirectory::Change::kNone) {
      kLog.Info("outdated endpoint entry ignored",
                {{"endpoint", id},
                 {"revision", DescribeRevision(item.m_mod_revision)}});
      return false;
    }
    if (draining) {
      m_departures.Record(EndpointId(id), started_at_ms, departure);
    }
    if (change == EndpointDirectory::Change::kAdded ||
        change == EndpointDirectory::Change::kRestarted || draining) {
      kLog.Info(draining ? "endpoint leaving"
                : change == EndpointDirectory::Change::kAdded
                    ? "endpoint joined"
                    : "endpoint restarted",
                {{"endpoint", id},
                 {"revision", DescribeRevision(item.m_mod_revision)}});
    }
    return true;
  } catch (const Error& error) {
    kLog.Warn("endpoint entry unreadable; ignored",
              {{"reason", error.what()},
               {"revision", DescribeRevision(item.m_mod_revision)}});
    return false;
  }
}

void FleetStateFeed::MarkLeaving(const EndpointId& id,
                                 std::int64_t started_at_ms,
                                 const std::string& source) {
  if (!m_directory.MarkLeaving(id, started_at_ms)) {
    return;
  }
  m_departures.Record(id, started_at_ms, {});
  kLog.Info("endpoint leaving", {{"endpoint", id.value()},
                                 {"source", source},
                                 {"started_at_ms", started_at_ms}});
  m_events.m_endpoint_changed(id);
}

void FleetStateFeed::NoteRunning() {
  const MonotonicTime now = m_loop.Now();
  if (now - m_running_at > kSuspensionGap) {
    kLog.Warn("this host was suspended",
              {{"for_ms", ToMillis(now - m_running_at).count()}});
    m_asking_since = now;
  }
  m_running_at = now;
}

void FleetStateFeed::RecordProof(MonotonicTime as_of) {
  NoteRunning();
  if (m_complete && ServiceSilent()) {
    kLog.Warn(
        "key-value service back",
        {{"away_ms", ToMillis(m_loop.Now() - m_current_as_of).count()},
         {"asked_for_ms", ToMillis(m_loop.Now() - m_asking_since).count()}});
    m_recovered_at = m_loop.Now();
  }
  m_current_as_of = std::max(m_current_as_of, as_of);
}

bool FleetStateFeed::ServiceSilent() const {
  return !m_proof_timer && Age() > m_batch_pause + m_poll_wait + kAnswerLimit &&
         m_loop.Now() - m_asking_since > kAnswerLimit;
}

std::optional<MonotonicTime> FleetStateFeed::LapseDeadline() const {
  const MonotonicTime now = m_loop.Now();
  if (ServiceSilent()) {
    return now + kReregistrationPeriod;
  }
  if (m_recovered_at && now - *m_recovered_at < kReregistrationPeriod) {
    return *m_recovered_at + kReregistrationPeriod;
  }
  return std::nullopt;
}

void FleetStateFeed::RemoveLapsed() {
  NoteRunning();
  for (const auto& [id, started_at_ms] : m_directory.DropLapsed(m_loop.Now())) {
    kLog.Info("endpoint with lapsed registration removed",
              {{"endpoint", id.value()}});
    m_departures.Record(id, started_at_ms,
                        DepartureAfter(std::nullopt, std::nullopt));
    m_events.m_endpoint_changed(id);
  }
  m_evacuation.Tick(KnowledgeFrom(kFromWatch, m_current_as_of));
}

}  // namespace hickoryloft::fleet
