// Keeps a host's copy of the configuration, the endpoints and the system's own
// keys current: reads everything once, then watches for changes.

#ifndef SOURCE_FLEET_FLEET_STATE_FEED_H_
#define SOURCE_FLEET_FLEET_STATE_FEED_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "base/event_loop.h"
#include "fleet/change_log.h"
#include "fleet/configuration_view.h"
#include "fleet/departures.h"
#include "fleet/endpoint_directory.h"
#include "fleet/evacuation_control.h"
#include "fleet/protocols.h"
#include "keyvalue/key_value_service.h"

namespace hickoryloft::fleet {

// Use on the loop's thread only. The references must outlive it.
class FleetStateFeed {
 public:
  struct Events {
    std::function<void()> m_configuration_changed;
    std::function<void(const EndpointId&)> m_endpoint_changed;
    // At least one of the system's own keys has changed.
    std::function<void()> m_own_keys_changed;
    // The watch has reported changes after revision `from`. May be null.
    std::function<void(Revision from, const keyvalue::WatchBatch&)>
        m_batch_applied;
  };

  FleetStateFeed(EventLoop& loop,
                 keyvalue::KeyValueService& store,
                 const FleetDecoder& decoder,
                 Events events);

  void Start();

  // Sets the minimum time between batches of changes, so that changes in quick
  // succession need only one call.
  void SetBatchPause(Duration pause);
  // Sets how often the service is asked to confirm that there are no changes.
  void SetPollWait(Duration wait);
  // Sets the age of other hosts' proofs from which on this host asks the
  // service itself.
  void SetMaxRelayedAge(Duration age) { m_max_relayed_age = age; }

  // Sets the time after which no request may reach a failure domain that an
  // operator has asked to empty.
  void SetEvacuationBound(Duration bound) { m_evacuation.SetBound(bound); }

  // Records that an endpoint said in an answer that it stays cold for `cold`.
  void MarkCold(const EndpointId& id,
                std::int64_t started_at_ms,
                Duration cold) {
    m_directory.MarkCold(id, started_at_ms, m_loop.Now() + cold);
  }
  // Records that an endpoint announced in an answer, to this host or to another
  // one, that it is leaving. `source` is logged as the origin of the report.
  void MarkLeaving(const EndpointId& id,
                   std::int64_t started_at_ms,
                   const std::string& source);

  // Applies changes received from a host that watches the service. A span that
  // starts after this host's revision is ignored, since changes are missing.
  void ApplyChanges(const ChangeSpan& span);
  // Applies the proof of a host that watches the service: at time `as_of` that
  // host had every change, and was at `revision`. While such proofs arrive,
  // this host does not watch the service itself.
  void ApplyProof(Revision revision, MonotonicTime as_of);
  // Reads everything again if this host's copy is of an earlier era than `era`,
  // in which the service has answered or another host has read. Returns whether
  // it is.
  bool ObserveEra(Era era);
  // Applies that another host at revision `at` has version `version` of the
  // configuration.
  void ObserveConfiguration(std::int64_t version, Revision at);
  // Whether another host has a newer configuration than this one although this
  // host's copy is not older: the service has lost it, and what it withdrew is
  // in this host's configuration.
  bool LacksLostConfiguration() const;
  // The revision up to which changes are applied; 0 before the first read.
  Revision revision() const { return m_revision; }

  // Null until the first configuration has been read.
  const std::shared_ptr<const ConfigurationView>& configuration() const {
    return m_configuration;
  }
  const EndpointDirectory& directory() const { return m_directory; }
  // The departures of endpoints, by registrations and by answers.
  const Departures& departures() const { return m_departures; }
  // The failure domains that operators have asked to empty.
  const std::map<FailureDomainId, Evacuation>& evacuations() const {
    return m_evacuation.states();
  }
  const std::map<std::string, keyvalue::KeyValue>& own_keys() const {
    return m_own_keys;
  }

  // Returns true once everything has been read, and from then on.
  bool complete() const { return m_complete; }

  // Returns the age of the copy: changes since then may be missing.
  // Precondition: complete().
  Duration Age() const { return m_loop.Now() - m_current_as_of; }
  // The time up to which no change is missing.
  MonotonicTime current_as_of() const { return m_current_as_of; }

  // Returns until when an entry whose registration is deleted now is kept,
  // because the registration may have lapsed in an outage; nothing if there was
  // none recently.
  std::optional<MonotonicTime> LapseDeadline() const;

 private:
  void ReadAll();
  void ApplySnapshot(const keyvalue::ReadReply& reply);
  void BeginWatch(Revision revision);
  void ApplyBatch(const keyvalue::WatchBatch& batch);
  // Applies the events that are newer than the current revision, and advances
  // it to `revision`. `complete_until`: the changes were made after this time.
  // `source` is logged as their origin.
  void ApplyEvents(const std::vector<keyvalue::WatchEvent>& events,
                   Revision revision,
                   MonotonicTime complete_until,
                   const char* source);
  void ApplyEvent(const keyvalue::WatchEvent& event,
                  MonotonicTime complete_until,
                  const char* source);
  // Returns what evacuations are told of changes that were made after
  // `complete_until`.
  EvacuationControl::Knowledge KnowledgeFrom(
      const char* source,
      std::optional<MonotonicTime> complete_until) const;
  void ResumeWatch(const std::string& reason);
  // Sets the wait of the watch's next call so that the copy grows no older than
  // a batch pause and a poll wait while the service works.
  void UpdatePollWait();
  void ApplyConfiguration(const keyvalue::KeyValue& item);
  // `complete_until`: as for ApplyEvents(); nothing if it is not known when the
  // registration was made.
  bool ApplyEndpoint(const keyvalue::KeyValue& item,
                     std::optional<MonotonicTime> complete_until);
  void ApplyEndpointRemoval(const keyvalue::KeyValue& item,
                            MonotonicTime complete_until,
                            const char* source);
  // Removes the endpoints that a read did not return.
  void RemoveMissing(const std::unordered_set<EndpointId>& present,
                     std::optional<MonotonicTime> complete_until,
                     EndpointDirectory::Absence absence);
  void RecordProof(MonotonicTime as_of);
  // Disregards the time in which this host was suspended, and thus did not ask.
  void NoteRunning();
  // Returns whether the service has left this host's own calls unanswered. An
  // old view alone does not tell: the host that sends the proofs may be the
  // only one without the service.
  bool ServiceSilent() const;
  void RemoveLapsed();

  EventLoop& m_loop;
  keyvalue::KeyValueService& m_store;
  const FleetDecoder& m_decoder;
  Events m_events;
  std::shared_ptr<const ConfigurationView> m_configuration;
  EndpointDirectory m_directory;
  Departures m_departures;
  EvacuationControl m_evacuation;
  std::map<std::string, keyvalue::KeyValue> m_own_keys;
  // The newest version that the service was seen to have lost.
  std::int64_t m_lost_version = 0;
  bool m_complete = false;
  bool m_reading = false;
  Revision m_revision = 0;
  Duration m_batch_pause{};
  Duration m_poll_wait = seconds(1);
  Duration m_max_relayed_age = milliseconds(2400);
  // Earliest time of the watch's next call.
  MonotonicTime m_next_call_at;
  MonotonicTime m_current_as_of;
  // When this host's own calls began, or were resumed after other hosts' proofs
  // had replaced them or the host had been suspended.
  MonotonicTime m_asking_since;
  // When this host was last seen to run.
  MonotonicTime m_running_at;
  // When the service last answered again after an outage.
  std::optional<MonotonicTime> m_recovered_at;
  std::unique_ptr<keyvalue::Watch> m_watch;
  std::unique_ptr<Timer> m_retry;
  std::unique_ptr<Timer> m_lapse_timer;
  // Set while other hosts' proofs replace this host's watch; resumes the watch
  // when it expires.
  std::unique_ptr<Timer> m_proof_timer;
};

}  // namespace hickoryloft::fleet

#endif  // SOURCE_FLEET_FLEET_STATE_FEED_H_
