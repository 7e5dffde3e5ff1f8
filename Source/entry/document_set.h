// The documents in force at this entry, and authentication by them.

#ifndef SOURCE_ENTRY_DOCUMENT_SET_H_
#define SOURCE_ENTRY_DOCUMENT_SET_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "documents/document.h"
#include "messages_generated.h"

namespace hickoryloft::entry {

// The client account that a key belongs to. Keeps its document alive, so it
// stays readable after the document was replaced.
struct Principal {
  std::shared_ptr<const documents::Document> m_document;
  const documents::ClientAccountSpec* m_account = nullptr;
  ClientAccountId m_id;  // Qualified.
  std::string m_digest;  // Of the key, by the document's salt.
};

// Holds one document per service; revisions only go up. Not thread-safe.
class DocumentSet {
 public:
  using DocumentPtr = std::shared_ptr<const documents::Document>;

  static constexpr std::size_t kMaxCachedKeys = 65536;

  DocumentSet();

  // Applies one update if its revision is newer than the one at hand; an empty
  // text removes the document. Returns whether anything changed. A text that
  // does not parse is logged and leaves the old document in force.
  bool Apply(const wire::DocumentUpdateT& update);
  // Applies all of a snapshot, and removes documents that it does not name.
  bool ApplySnapshot(const wire::DocumentSnapshotT& snapshot);

  // Returns the newest revision that was applied.
  Revision revision() const { return m_revision; }
  const std::map<ServiceId, DocumentPtr>& documents() const {
    return m_documents;
  }

  // Returns the account of `key`, or nullptr.
  std::shared_ptr<const Principal> Authenticate(const std::string& key);
  // Returns whether the key behind `principal` is still valid for its account.
  bool StillValid(const Principal& principal) const;
  // Returns the endpoints that any document drains.
  std::set<EndpointId> Draining() const;

 private:
  std::shared_ptr<const Principal> Search(const std::string& key) const;
  void OnChanged();

  std::map<ServiceId, DocumentPtr> m_documents;
  std::map<ServiceId, Revision> m_revisions;  // Of removed documents, too.
  // Per service, the account of each digest.
  std::map<ServiceId,
           std::unordered_map<std::string, const documents::ClientAccountSpec*>>
      m_accounts_by_digest;
  Revision m_revision = 0;
  // Known keys by a digest with this run's own salt; emptied by any change.
  std::string m_cache_salt;
  std::unordered_map<std::string, std::shared_ptr<const Principal>> m_cache;
};

}  // namespace hickoryloft::entry

#endif  // SOURCE_ENTRY_DOCUMENT_SET_H_
