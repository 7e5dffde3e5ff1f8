// The part of DocumentKeeper that watches, fetches and applies document texts.

#include <algorithm>
#include <utility>

#include "coordinator/document_keeper.h"
#include "coordinator/keys.h"
#include "documents/parse_document.h"
#include "wire/frame.h"

namespace hickoryloft::coordinator {

namespace {

constexpr Duration kWatchRetryDelay = milliseconds(1000);
constexpr Duration kFetchRetryDelay = milliseconds(150);
constexpr Duration kFetchTimeout = milliseconds(1500);
// A watcher lists a stored document in the manifest if its writer has not done
// so within this time.
constexpr Duration kListDelay = seconds(2);
constexpr Duration kInvalidTextRetryDelay = seconds(60);
// Hosts fetch texts along a tree over the watch order of their failure domain,
// so that no host has to send a text to all the others.
constexpr std::size_t kFetchTreeFanOut = 4;
// Attempts to fetch from the parent in the tree before other hosts are tried.
constexpr std::size_t kMaxParentAttempts = 4;

}  // namespace

void DocumentKeeper::StartWatch() {
  m_watch_load_in_flight = true;
  const std::weak_ptr<bool> alive = m_alive;
  m_key_values.GetPrefix(
      kDocumentsWatchPrefix,
      [this, alive](const Result<keyvalue::ReadReply>& result) {
        if (alive.expired()) {
          return;
        }
        m_watch_load_in_flight = false;
        m_next_watch_at = m_loop.Now() + kWatchRetryDelay;
        if (!result) {
          return;
        }
        keyvalue::WatchBatch batch{.m_revision = result.value().m_revision};
        for (const keyvalue::KeyValue& item : result.value().m_items) {
          batch.m_events.push_back({.m_deleted = false, .m_item = item});
        }
        m_watch = m_key_values.WatchPrefix(
            kDocumentsWatchPrefix, batch.m_revision,
            [this](const keyvalue::WatchBatch& changes) {
              OnWatchBatch(changes);
            },
            [this](const Error& error) {
              m_log.Warn(
                  "The watch on the documents ended; it will be restarted.",
                  {{"reason", error.what()}});
              m_watch.reset();
              m_next_watch_at = m_loop.Now() + kWatchRetryDelay;
            });
        OnWatchBatch(batch);
      });
}

void DocumentKeeper::OnWatchBatch(const keyvalue::WatchBatch& batch) {
  for (const keyvalue::WatchEvent& event : batch.m_events) {
    const keyvalue::KeyValue& item = event.m_item;
    if (item.m_key == kManifestKey) {
      if (!event.m_deleted) {
        try {
          m_table.SetManifest(documents::ParseManifest(item.m_value),
                              item.m_mod_revision);
        } catch (const Error& error) {
          m_log.Error(
              "The document manifest in a watch event is not valid; ignoring "
              "the event.",
              {{"reason", error.what()}});
        }
      }
      continue;
    }
    if (!item.m_key.starts_with(kDocumentsPrefix)) {
      continue;
    }
    const ServiceId service(item.m_key.substr(kDocumentsPrefix.size()));
    if (event.m_deleted) {
      RecordRemoval(service, std::max(item.m_mod_revision, batch.m_revision));
    } else {
      m_unlisted_removals.erase(service);
      m_table.AddText(service, {item.m_mod_revision, item.m_value});
    }
  }
  ApplyDocuments();
}

void DocumentKeeper::RecordRemoval(const ServiceId& service,
                                   Revision revision) {
  const auto& manifest = m_table.manifest();
  const auto listed = manifest.find(service);
  if (listed != manifest.end() && !listed->second.m_removed) {
    m_unlisted_removals[service] = revision;
  }
}

void DocumentKeeper::ListUnlistedDocuments(MonotonicTime now) {
  std::map<ServiceId, documents::ManifestEntry> unlisted;
  for (const auto& [service, revision] : m_table.Unlisted()) {
    unlisted[service] = {revision, false};
  }
  for (const auto& [service, revision] : m_unlisted_removals) {
    unlisted[service] = {revision, true};
  }
  std::erase_if(m_unlisted_since, [&](const auto& item) {
    return !unlisted.contains(item.first);
  });
  for (const auto& [service, entry] : unlisted) {
    MonotonicTime& since =
        m_unlisted_since.try_emplace(service, now).first->second;
    if (now < since + kListDelay) {
      continue;
    }
    since = now;
    if (entry.m_removed || HasValidStagedText(service)) {
      AddToManifest(service, entry);
    } else {
      since = now + kInvalidTextRetryDelay;
    }
  }
}

// Returns whether the staged text of `service` is valid. A text that was stored
// without validation must not be listed.
bool DocumentKeeper::HasValidStagedText(const ServiceId& service) const {
  try {
    const documents::DocumentText* text = m_table.StagedText(service);
    if (text != nullptr) {
      documents::ParseDocument(service, text->m_text, service.value());
    }
    return text != nullptr;
  } catch (const Error& error) {
    m_log.Warn(
        "A stored document is not valid; not listing it in the manifest.",
        {{"reason", error.what()}});
    return false;
  }
}

void DocumentKeeper::AddToManifest(const ServiceId& service,
                                   const documents::ManifestEntry& entry) {
  m_log.Info(
      "Listing a stored document in the manifest, since its writer has not "
      "done so.",
      {{"service", service.value()}, {"revision", entry.m_revision}});
  const std::weak_ptr<bool> alive = m_alive;
  AddManifestEntry(
      m_key_values, service, entry,
      [this, alive, service](const Result<StoredManifest>& result) {
        if (alive.expired() || !result) {
          return;
        }
        m_unlisted_removals.erase(service);
        m_table.SetManifest(result.value().m_manifest,
                            result.value().m_revision);
        ApplyDocuments();
      });
}

void DocumentKeeper::ApplyStoredDocument(const ServiceId& service,
                                         const documents::DocumentText& text,
                                         const StoredManifest& manifest) {
  if (!text.m_text.empty()) {
    m_table.AddText(service, text);
  }
  m_unlisted_removals.erase(service);
  m_table.SetManifest(manifest.m_manifest, manifest.m_revision);
  ApplyDocuments();
}

void DocumentKeeper::ApplyDocuments() {
  const auto changes = m_table.Advance();
  m_tracker.OnApplied(m_table.applied_revision());
  if (m_table.Missing().empty() &&
      m_table.applied_revision() >= m_newest_reported_revision) {
    m_fetch_failures = 0;
  }
  for (const documents::AppliedDocument& change : changes) {
    m_log.Info("Applied a document change.",
               {{"service", change.m_service.value()},
                {"revision", change.m_revision},
                {"removed", change.m_text.empty() ? "true" : "false"}});
  }
  if (!changes.empty()) {
    m_on_documents_applied(changes);
  }
  AnswerAckQueries();
}

void DocumentKeeper::FetchMissingDocuments() {
  const bool behind = !m_table.Missing().empty() ||
                      m_table.applied_revision() < m_newest_reported_revision;
  const MonotonicTime now = m_loop.Now();
  if (!behind || m_fetch_in_flight || now < m_next_fetch_at) {
    return;
  }
  m_next_fetch_at = now + kFetchRetryDelay;
  const HostId source = ChooseFetchPeer();
  const bool from_service =
      source.empty() || (IsWatcher() && m_fetch_failures % 2 == 0);
  if (from_service) {
    FetchFromService();
  } else {
    FetchFromPeer(source);
  }
}

HostId DocumentKeeper::ChooseFetchPeer() const {
  const auto order = m_view.WatcherOrder(m_self.m_failure_domain);
  const auto self = std::find(order.begin(), order.end(), m_self.m_host);
  const auto index = static_cast<std::size_t>(self - order.begin());
  const bool has_parent =
      self != order.end() && index >= MemberView::kWatchersPerDomain;
  if (has_parent && m_fetch_failures < kMaxParentAttempts) {
    return order[(index - 1) / kFetchTreeFanOut];
  }
  const std::vector<HostId> sources = OtherWatchers();
  return sources.empty() ? HostId()
                         : sources[m_fetch_failures % sources.size()];
}

void DocumentKeeper::FetchFromService() {
  m_fetch_in_flight = true;
  ++m_fetch_failures;  // Reset by ApplyDocuments() once nothing is missing.
  const std::weak_ptr<bool> alive = m_alive;
  const std::vector<ServiceId> missing = m_table.Missing();
  if (missing.empty()) {
    m_key_values.Get(
        kManifestKey, [this, alive](const Result<keyvalue::ReadReply>& result) {
          if (alive.expired()) {
            return;
          }
          m_fetch_in_flight = false;
          if (result) {
            try {
              const StoredManifest stored = ReadManifest(result.value());
              m_table.SetManifest(stored.m_manifest, stored.m_revision);
            } catch (const Error&) {
              return;  // The periodic read logs it.
            }
            ApplyDocuments();
          }
        });
    return;
  }
  const ServiceId& service = missing.front();
  m_key_values.Get(
      DocumentKey(service),
      [this, alive, service](const Result<keyvalue::ReadReply>& result) {
        if (alive.expired()) {
          return;
        }
        m_fetch_in_flight = false;
        if (!result) {
          return;
        }
        if (result.value().m_items.empty()) {
          RecordRemoval(service, result.value().m_revision);
          return;
        }
        const keyvalue::KeyValue& item = result.value().m_items.front();
        m_table.AddText(service, {item.m_mod_revision, item.m_value});
        ApplyDocuments();
      });
}

void DocumentKeeper::FetchFromPeer(const HostId& host) {
  m_fetch_in_flight = true;
  ++m_fetch_failures;
  wire::DocumentQueryT query;
  query.known_revision = m_table.applied_revision();
  for (const auto& [service, text] : m_table.texts()) {
    auto known = std::make_unique<wire::DocumentAckT>();
    known->service = service.value();
    known->revision = text.m_revision;
    query.known.push_back(std::move(known));
  }
  const std::weak_ptr<bool> alive = m_alive;
  m_peers.Request(
      host, wire::MakeEnvelope(std::move(query)), kFetchTimeout,
      [this, alive](const Result<wire::EnvelopeT>& result) {
        if (alive.expired()) {
          return;
        }
        m_fetch_in_flight = false;
        if (!result) {
          return;
        }
        if (const auto* snapshot = result.value().body.AsDocumentSnapshot()) {
          OnSnapshot(*snapshot);
        }
      });
}

void DocumentKeeper::OnSnapshot(const wire::DocumentSnapshotT& snapshot) {
  documents::Manifest manifest;
  for (const auto& document : snapshot.documents) {
    const ServiceId service(document->service);
    const bool removed = document->text.empty() && !document->unchanged;
    manifest[service] = {document->revision, removed};
    if (!removed && !document->unchanged) {
      m_table.AddText(service, {document->revision, document->text});
    }
  }
  m_table.SetManifest(manifest, snapshot.revision);
  ApplyDocuments();
}

void DocumentKeeper::OnDocumentQuery(const wire::DocumentQueryT& query,
                                     const Responder& respond) {
  std::map<ServiceId, Revision> known;
  for (const auto& item : query.known) {
    known[ServiceId(item->service)] = item->revision;
  }
  wire::DocumentSnapshotT snapshot;
  snapshot.revision = m_table.applied_revision();
  for (const auto& [service, text] : m_table.texts()) {
    auto update = std::make_unique<wire::DocumentUpdateT>();
    update->service = service.value();
    update->revision = text.m_revision;
    const auto found = known.find(service);
    update->unchanged =
        found != known.end() && found->second == text.m_revision;
    update->text = update->unchanged ? "" : text.m_text;
    snapshot.documents.push_back(std::move(update));
  }
  for (const auto& [service, entry] : m_table.manifest()) {
    if (entry.m_removed && !m_table.texts().contains(service)) {
      auto update = std::make_unique<wire::DocumentUpdateT>();
      update->service = service.value();
      update->revision = entry.m_revision;
      snapshot.documents.push_back(std::move(update));
    }
  }
  respond(wire::MakeEnvelope(std::move(snapshot)));
}

}  // namespace hickoryloft::coordinator
