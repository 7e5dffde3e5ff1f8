// Maintains the documents in force at this host and the proof that they are the
// newest ones. See docs/design/documents.md.

#ifndef SOURCE_COORDINATOR_DOCUMENT_KEEPER_H_
#define SOURCE_COORDINATOR_DOCUMENT_KEEPER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "base/log.h"
#include "coordinator/manifest_writer.h"
#include "coordinator/member_view.h"
#include "coordinator/peer_mesh.h"
#include "documents/document_table.h"
#include "documents/freshness_tracker.h"
#include "keyvalue/key_value_service.h"

namespace hickoryloft::coordinator {

struct DocumentSettings {
  Duration m_freshness_limit{};
};

// Use on the loop's thread only.
class DocumentKeeper {
 public:
  // `view`, `peers` and `key_values` must outlive the keeper. Set both
  // callbacks before Start().
  DocumentKeeper(EventLoop& loop,
                 keyvalue::KeyValueService& key_values,
                 PeerMesh& peers,
                 const MemberView& view,
                 const Member& self,
                 DocumentSettings settings);

  // Called with the documents that changed.
  std::function<void(const std::vector<documents::AppliedDocument>&)>
      m_on_documents_applied;
  // Called with a host whose member view differs from that of this host.
  std::function<void(const HostId&)> m_on_member_view_mismatch;

  void Start();
  void OnMembersChanged();

  const documents::DocumentTable& table() const { return m_table; }
  const documents::FreshnessTracker& tracker() const { return m_tracker; }
  // Returns how much longer this host may serve; zero if it may not.
  Duration RemainingServingTime(MonotonicTime now) const;

  // Applies a document that this host has stored and that `manifest` lists.
  void ApplyStoredDocument(const ServiceId& service,
                           const documents::DocumentText& text,
                           const StoredManifest& manifest);

  // Handle messages from peers and entries.
  void OnFreshnessQuery(const Responder& respond);
  void OnDocumentQuery(const wire::DocumentQueryT& query,
                       const Responder& respond);
  void OnAckQuery(const HostId& from,
                  const wire::DocumentAckQueryT& query,
                  Responder respond);
  void OnHeartbeat(const HostId& from,
                   const wire::HeartbeatT& heartbeat,
                   const Responder& respond);

 private:
  struct PendingAckQuery {
    Revision m_revision = 0;
    Responder m_respond;
    MonotonicTime m_expires_at{};
  };

  void OnTimer();
  bool IsManifestReader() const;
  bool IsWatcher() const;
  void PollFreshness(MonotonicTime now);
  void ReadManifestKey();
  void QueryFreshness();
  std::vector<HostId> OtherWatchers() const;
  void OnFreshnessReply(const HostId& from,
                        const wire::FreshnessReplyT& reply,
                        MonotonicTime sent_at);
  void ExchangeHeartbeats(MonotonicTime now);
  wire::HeartbeatT MakeHeartbeat() const;

  void StartWatch();
  void OnWatchBatch(const keyvalue::WatchBatch& batch);
  void RecordRemoval(const ServiceId& service, Revision revision);
  void ListUnlistedDocuments(MonotonicTime now);
  void AddToManifest(const ServiceId& service,
                     const documents::ManifestEntry& entry);
  bool HasValidStagedText(const ServiceId& service) const;

  void ApplyDocuments();
  void AnswerAckQueries();
  void FetchMissingDocuments();
  void FetchFromService();
  void FetchFromPeer(const HostId& host);
  HostId ChooseFetchPeer() const;
  void OnSnapshot(const wire::DocumentSnapshotT& snapshot);

  EventLoop& m_loop;
  keyvalue::KeyValueService& m_key_values;
  PeerMesh& m_peers;
  const MemberView& m_view;
  Member m_self;
  DocumentSettings m_settings;
  Logger m_log{"documents"};
  documents::DocumentTable m_table;
  documents::FreshnessTracker m_tracker;

  MonotonicTime m_next_read_at{};
  bool m_read_in_flight = false;
  bool m_read_failed = false;
  MonotonicTime m_next_query_at{};
  bool m_query_in_flight = false;
  std::size_t m_query_failures = 0;  // Selects the host in OtherWatchers().
  MonotonicTime m_first_watcher_retry_at{};
  MonotonicTime m_next_heartbeat_at{};
  bool m_fetch_in_flight = false;
  std::size_t m_fetch_failures = 0;
  MonotonicTime m_next_fetch_at{};
  // The newest manifest revision that another host has reported.
  Revision m_newest_reported_revision = 0;
  std::vector<PendingAckQuery> m_pending_ack_queries;

  std::unique_ptr<keyvalue::Watch> m_watch;
  bool m_watch_load_in_flight = false;
  MonotonicTime m_next_watch_at{};
  std::map<ServiceId, Revision> m_unlisted_removals;
  std::map<ServiceId, MonotonicTime> m_unlisted_since;
  std::unique_ptr<Timer> m_timer;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace hickoryloft::coordinator

#endif  // SOURCE_COORDINATOR_DOCUMENT_KEEPER_H_
