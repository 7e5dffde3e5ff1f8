// The documents in force at this entry, and authentication of callers by them.

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

// The client account that a key belongs to. Keeps its document alive, so
// that it stays valid after the document was replaced.
struct Principal {
  std::shared_ptr<const documents::Document> m_document;
  const documents::ClientAccountSpec* m_account = nullptr;
  ClientAccountId m_id;  // Qualified name.
  std::string m_digest;  // Digest of the key with the document's salt.
};

// Holds one document per service, which only a newer revision replaces. Not
// thread-safe.
class DocumentSet {
 public:
  using DocumentPtr = std::shared_ptr<const documents::Document>;

  static constexpr std::size_t kMaxCachedKeys = 65536;

  DocumentSet();

  // Applies one update if its revision is newer than the one held; an empty
  // text removes the document. Returns whether anything changed. A text that
  // does not parse is logged and leaves the old document in force.
  bool Apply(const wire::DocumentUpdateT& update);
  // Applies all updates of a snapshot, and removes documents that are not in it
  // unless they are newer. Returns whether anything changed.
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
  // Returns the endpoints that are to be drained by any document.
  std::set<EndpointId> DrainingEndpoints() const;

 private:
  std::shared_ptr<const Principal> FindPrincipal(const std::string& key) const;
  void RebuildKeyIndex();

  std::map<ServiceId, DocumentPtr> m_documents;
  std::map<ServiceId, Revision> m_revisions;  // Includes removed ones.
  // Accounts by key digest, per service.
  std::map<ServiceId,
           std::unordered_map<std::string, const documents::ClientAccountSpec*>>
      m_accounts_by_digest;
  Revision m_revision = 0;
  // Authenticated keys, by a digest with a salt of this run; cleared by any
  // change.
  std::string m_cache_salt;
  std::unordered_map<std::string, std::shared_ptr<const Principal>> m_cache;
};

}  // namespace hickoryloft::entry

#endif  // SOURCE_ENTRY_DOCUMENT_SET_H_
