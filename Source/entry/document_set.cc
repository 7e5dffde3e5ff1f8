#include "entry/document_set.h"

#include <algorithm>
#include <vector>

#include "base/error.h"
#include "base/hashing.h"
#include "base/log.h"
#include "base/random.h"
#include "documents/parse_document.h"

namespace hickoryloft::entry {

namespace {

constexpr std::size_t kSaltBytes = 16;

const Logger kLog("documents");

}  // namespace

DocumentSet::DocumentSet() : m_cache_salt(RandomHex(kSaltBytes)) {}

bool DocumentSet::Apply(const wire::DocumentUpdateT& update) {
  const ServiceId service(update.service);
  Revision& held_revision = m_revisions[service];
  if (update.revision <= held_revision) {
    return false;
  }
  DocumentPtr document;
  if (!update.text.empty()) {
    try {
      auto parsed =
          documents::ParseDocument(service, update.text, service.value());
      parsed.m_revision = update.revision;
      document = std::make_shared<documents::Document>(std::move(parsed));
    } catch (const Error& error) {
      kLog.Error(
          "Rejected an invalid document; keeping the documents in force.",
          {{"service", service.value()},
           {"revision", update.revision},
           {"error", error.what()}});
      return false;
    }
  }
  held_revision = update.revision;
  m_revision = std::max(m_revision, update.revision);
  if (document) {
    m_documents.insert_or_assign(service, std::move(document));
  } else {
    m_documents.erase(service);
  }
  RebuildKeyIndex();
  kLog.Info("Applied a document update.",
            {{"service", service.value()}, {"revision", update.revision}});
  return true;
}

bool DocumentSet::ApplySnapshot(const wire::DocumentSnapshotT& snapshot) {
  bool changed = false;
  std::set<ServiceId> listed;
  for (const auto& update : snapshot.documents) {
    listed.insert(ServiceId(update->service));
    changed = Apply(*update) || changed;
  }
  std::vector<ServiceId> removed;
  for (const auto& [service, document] : m_documents) {
    if (!listed.contains(service) &&
        document->m_revision <= snapshot.revision) {
      removed.push_back(service);
    }
  }
  for (const ServiceId& service : removed) {
    m_documents.erase(service);
    m_revisions[service] = snapshot.revision;
    RebuildKeyIndex();
    changed = true;
  }
  m_revision = std::max(m_revision, snapshot.revision);
  return changed;
}

void DocumentSet::RebuildKeyIndex() {
  m_cache.clear();
  m_accounts_by_digest.clear();
  for (const auto& [service, document] : m_documents) {
    auto& accounts = m_accounts_by_digest[service];
    for (const auto& [id, account] : document->m_accounts) {
      for (const documents::KeyDigest& key : account.m_keys) {
        accounts.emplace(key.m_digest, &account);
      }
    }
  }
}

std::shared_ptr<const Principal> DocumentSet::Authenticate(
    const std::string& key) {
  const std::string cache_key = SaltedDigest(m_cache_salt, key);
  if (const auto found = m_cache.find(cache_key); found != m_cache.end()) {
    return found->second;
  }
  auto principal = FindPrincipal(key);
  if (principal) {
    if (m_cache.size() >= kMaxCachedKeys) {
      m_cache.clear();
    }
    m_cache.emplace(cache_key, principal);
  }
  return principal;
}

std::shared_ptr<const Principal> DocumentSet::FindPrincipal(
    const std::string& key) const {
  for (const auto& [service, document] : m_documents) {
    std::string digest = SaltedDigest(document->m_key_salt, key);
    const auto& accounts = m_accounts_by_digest.at(service);
    const auto found = accounts.find(digest);
    if (found == accounts.end()) {
      continue;
    }
    const documents::ClientAccountSpec* account = found->second;
    return std::make_shared<Principal>(
        Principal{.m_document = document,
                  .m_account = account,
                  .m_id = ClientAccountId(
                      documents::QualifiedName(service, account->m_id.value())),
                  .m_digest = std::move(digest)});
  }
  return nullptr;
}

bool DocumentSet::StillValid(const Principal& principal) const {
  const ServiceId& service = principal.m_document->m_service;
  const auto document = m_documents.find(service);
  if (document == m_documents.end()) {
    return false;
  }
  if (document->second->m_key_salt != principal.m_document->m_key_salt) {
    return false;
  }
  const auto& accounts = m_accounts_by_digest.at(service);
  const auto found = accounts.find(principal.m_digest);
  return found != accounts.end() &&
         found->second->m_id == principal.m_account->m_id;
}

std::set<EndpointId> DocumentSet::DrainingEndpoints() const {
  std::set<EndpointId> draining;
  for (const auto& [service, document] : m_documents) {
    draining.insert(document->m_capacity.m_draining.begin(),
                    document->m_capacity.m_draining.end());
  }
  return draining;
}

}  // namespace hickoryloft::entry
