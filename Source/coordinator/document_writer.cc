#include "coordinator/document_writer.h"

#include <utility>

#include "coordinator/keys.h"
#include "documents/parse_document.h"
#include "wire/frame.h"

namespace hickoryloft::coordinator {

namespace {

constexpr Duration kAcceptanceTimeout = seconds(3);
constexpr Duration kAckRoundInterval = milliseconds(200);
constexpr Duration kAckTimeout = milliseconds(1500);

// A change in progress. Its pending callbacks keep it alive.
struct DocumentWriteOperation
    : std::enable_shared_from_this<DocumentWriteOperation> {
  EventLoop& m_loop;
  keyvalue::KeyValueService& m_key_values;
  PeerMesh& m_peers;
  const MemberView& m_view;
  DocumentKeeper& m_keeper;
  HostId m_self;
  DocumentWrite m_write;
  std::function<void(const WriteReport&)> m_done;

  Revision m_revision = 0;  // Of the stored document.
  Revision m_manifest_revision = 0;
  MonotonicTime m_accept_deadline{};
  std::optional<documents::AcceptanceVote> m_vote;
  std::set<HostId> m_pending_queries;  // Hosts that have not answered yet.
  std::unique_ptr<Timer> m_round_timer;

  DocumentWriteOperation(EventLoop& loop,
                         keyvalue::KeyValueService& key_values,
                         PeerMesh& peers,
                         const MemberView& view,
                         DocumentKeeper& keeper,
                         HostId self,
                         DocumentWrite write,
                         std::function<void(const WriteReport&)> done)
      : m_loop(loop),
        m_key_values(key_values),
        m_peers(peers),
        m_view(view),
        m_keeper(keeper),
        m_self(std::move(self)),
        m_write(std::move(write)),
        m_done(std::move(done)) {}

  void Finish(WriteState state, Revision revision, std::string detail) {
    m_round_timer.reset();
    const auto done = std::exchange(m_done, nullptr);
    if (done) {
      done({
          .m_state = state,
          .m_revision = revision,
          .m_detail = std::move(detail),
          .m_acknowledged = m_vote ? m_vote->acknowledged() : 0,
          .m_members = m_view.members().size(),
      });
    }
  }

  void Start() {
    if (m_write.m_text) {
      try {
        if (m_write.m_text->empty()) {
          throw Error(ErrorCode::kInvalidDocument,
                      m_write.m_service.value() +
                          ": the text is empty; delete the document instead");
        }
        documents::ParseDocument(m_write.m_service, *m_write.m_text,
                                 m_write.m_service.value());
      } catch (const Error& error) {
        Finish(WriteState::kInvalid, 0, error.what());
        return;
      }
    }
    m_key_values.Swap(
        {DocumentKey(m_write.m_service), m_write.m_expected_revision,
         m_write.m_text, 0},
        [self = shared_from_this()](const Result<keyvalue::SwapReply>& result) {
          self->OnSwapped(result);
        });
  }

  void OnSwapped(const Result<keyvalue::SwapReply>& result) {
    if (result && result.value().m_swapped) {
      OnStored(result.value().m_revision);
    } else if (result) {
      const auto& current = result.value().m_current;
      Finish(WriteState::kConflict, current ? current->m_mod_revision : 0,
             "another revision stands; read it and apply your change to it");
    } else if (result.error().code() == ErrorCode::kUnavailable) {
      Finish(WriteState::kNotRun, 0,
             "the key-value service cannot be reached; nothing was changed");
    } else {
      ReadBack();
    }
  }

  // Determines after a lost reply whether the write was executed.
  void ReadBack() {
    m_key_values.Get(
        DocumentKey(m_write.m_service),
        [self = shared_from_this()](const Result<keyvalue::ReadReply>& result) {
          self->OnReadBack(result);
        });
  }

  void OnReadBack(const Result<keyvalue::ReadReply>& result) {
    constexpr char kUnknownDetail[] =
        "the key-value service did not say whether the document was stored; "
        "read it before you try again";
    if (!result) {
      Finish(WriteState::kUnknown, 0, kUnknownDetail);
      return;
    }
    const auto& items = result.value().m_items;
    const Revision current_revision =
        items.empty() ? 0 : items[0].m_mod_revision;
    if (current_revision == m_write.m_expected_revision) {
      Finish(WriteState::kUnknown, current_revision, kUnknownDetail);
    } else if (!m_write.m_text && items.empty()) {
      OnStored(result.value().m_revision);
    } else if (m_write.m_text && !items.empty() &&
               items[0].m_value == *m_write.m_text) {
      OnStored(current_revision);
    } else {
      Finish(WriteState::kConflict, current_revision,
             "another revision stands; read it and apply your change to it");
    }
  }

  void OnStored(Revision revision) {
    m_revision = revision;
    AddManifestEntry(
        m_key_values, m_write.m_service,
        {.m_revision = revision, .m_removed = !m_write.m_text.has_value()},
        [self = shared_from_this()](const Result<StoredManifest>& result) {
          self->OnListed(result);
        });
  }

  void OnListed(const Result<StoredManifest>& result) {
    if (!result) {
      Finish(WriteState::kPending, m_revision,
             "stored, but not yet in force: " +
                 std::string(result.error().what()));
      return;
    }
    m_manifest_revision = result.value().m_revision;
    m_keeper.ApplyStoredDocument(m_write.m_service,
                                 {m_revision, m_write.m_text.value_or("")},
                                 result.value());
    m_accept_deadline = m_loop.Now() + kAcceptanceTimeout;
    RunAckRound();
  }

  void RunAckRound() {
    const MonotonicTime now = m_loop.Now();
    if (!m_vote || m_vote->digest() != m_view.digest()) {
      m_vote.emplace(m_manifest_revision, m_view.Hosts(), m_view.digest());
    }
    m_vote->OnAck(m_self, m_keeper.table().applied_revision(), m_view.digest());
    if (m_vote->accepted()) {
      Finish(WriteState::kAccepted, m_revision, "");
      return;
    }
    if (now >= m_accept_deadline) {
      Finish(WriteState::kPending, m_revision,
             "stored; a majority of the hosts has not confirmed it yet");
      return;
    }
    for (const HostId& host : m_vote->members()) {
      const bool should_query = host != m_self && !m_vote->Acknowledged(host) &&
                                m_pending_queries.insert(host).second;
      if (should_query) {
        QueryAck(host);
      }
    }
    m_round_timer =
        m_loop.After(kAckRoundInterval,
                     [self = shared_from_this()] { self->RunAckRound(); });
  }

  void QueryAck(const HostId& host) {
    wire::DocumentAckQueryT query;
    query.revision = m_manifest_revision;
    m_peers.Request(host, wire::MakeEnvelope(std::move(query)), kAckTimeout,
                    [self = shared_from_this(),
                     host](const Result<wire::EnvelopeT>& result) {
                      self->OnAck(host, result);
                    });
  }

  void OnAck(const HostId& host, const Result<wire::EnvelopeT>& result) {
    m_pending_queries.erase(host);
    const auto* ack = result ? result.value().body.AsDocumentAck() : nullptr;
    if (!m_done || ack == nullptr) {
      return;
    }
    m_vote->OnAck(host, ack->revision, ack->members_digest);
    if (m_vote->accepted()) {
      Finish(WriteState::kAccepted, m_revision, "");
    }
  }
};

}  // namespace

void WriteDocument(EventLoop& loop,
                   keyvalue::KeyValueService& key_values,
                   PeerMesh& peers,
                   const MemberView& view,
                   DocumentKeeper& keeper,
                   const HostId& self,
                   DocumentWrite write,
                   std::function<void(const WriteReport&)> done) {
  std::make_shared<DocumentWriteOperation>(loop, key_values, peers, view,
                                           keeper, self, std::move(write),
                                           std::move(done))
      ->Start();
}

}  // namespace hickoryloft::coordinator
