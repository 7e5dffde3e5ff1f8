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
  std::function<void(const std::vector<documents::AppliedDocument>&)> m_applied;
  // Called with a host whose member view differs from that of this host.
  std::function<void(const HostId&)> m_members_differ;

  void Start();
  void OnMembersChanged();

  const documents::DocumentTable& table() const { return m_table; }
  const documents::FreshnessTracker& tracker() const { return m_tracker; }
  // Returns how much longer this host may serve; zero if it may not.
  Duration ServeFor(MonotonicTime now) const;

  // Applies a document that this host has stored and that `manifest` lists.
  void OnStored(const ServiceId& service,
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
  struct PendingAck {
    Revision m_revision = 0;
    Responder m_respond;
    MonotonicTime m_expires_at{};
  };

  void Step();
  bool IsReader() const;
  bool IsWatcher() const;
  void Poll(MonotonicTime now);
  void ReadManifestKey();
  void AskPeer();
  std::vector<HostId> Sources() const;
  void OnFreshnessReply(const HostId& from,
                        const wire::FreshnessReplyT& reply,
                        MonotonicTime sent_at);
  void ExchangeHeartbeats(MonotonicTime now);
  wire::HeartbeatT MakeHeartbeat() const;

  void StartWatch();
  void OnBatch(const keyvalue::WatchBatch& batch);
  void NoteRemoval(const ServiceId& service, Revision revision);
  void ListUnlisted(MonotonicTime now);
  void List(const ServiceId& service, const documents::ManifestEntry& entry);
  bool MayList(const ServiceId& service) const;

  void Advance();
  void AnswerAcks();
  void FetchMissing();
  void FetchFromService();
  void Fetch(const HostId& host);
  HostId FetchSource() const;
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

  MonotonicTime m_read_at{};
  bool m_reading = false;
  bool m_read_failed = false;
  MonotonicTime m_ask_at{};
  bool m_asking = false;
  std::size_t m_ask_failures = 0;  // Selects the host in Sources().
  MonotonicTime m_back_to_first_at{};
  MonotonicTime m_heartbeat_at{};
  bool m_fetching = false;
  std::size_t m_fetch_failures = 0;
  MonotonicTime m_fetch_at{};
  // The newest manifest revision that another host has reported.
  Revision m_wanted_revision = 0;
  std::vector<PendingAck> m_pending_acks;

  std::unique_ptr<keyvalue::Watch> m_watch;
  bool m_loading = false;
  MonotonicTime m_watch_at{};
  std::map<ServiceId, Revision> m_unlisted_removals;
  std::map<ServiceId, MonotonicTime> m_unlisted_since;
  std::unique_ptr<Timer> m_timer;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace hickoryloft::coordinator

#endif  // SOURCE_COORDINATOR_DOCUMENT_KEEPER_H_
