#include "tools/ctl/commands.h"

#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "base/error.h"
#include "base/hashing.h"
#include "base/log_fields.h"
#include "base/random.h"
#include "documents/diff_documents.h"
#include "documents/parse_document.h"
#include "settings/settings_file.h"
#include "tools/ctl/admin_client.h"
#include "tools/ctl/document_edit.h"
#include "tools/ctl/log_timeline.h"

namespace hickoryloft::tools {

namespace {

constexpr std::size_t kKeyBytes = 24;

AdminClient MakeAdminClient(const CtlOptions& options) {
  if (options.m_operator_key_file.empty()) {
    throw Error(ErrorCode::kInvalidArgument,
                "this command requires --operator-key-file");
  }
  return {ParseHostPort(options.m_coordinator),
          settings::LoadSecret(options.m_operator_key_file), options.m_timeout};
}

// Returns the service given as an option or, by default, the file name without
// its extension.
ServiceId ServiceFromOptions(const CtlOptions& options) {
  if (!options.m_service.empty()) {
    return ServiceId(options.m_service);
  }
  return ServiceId(std::filesystem::path(options.m_file).stem().string());
}

StoredDocument FetchStoredDocument(AdminClient& client,
                                   const ServiceId& service) {
  auto stored = client.GetDocument(service);
  if (!stored) {
    throw Error(ErrorCode::kNotFound,
                "no document is stored for service '" + service.value() + "'");
  }
  return *stored;
}

void PrintChanges(const std::vector<documents::DocumentChange>& changes) {
  for (const documents::DocumentChange& change : changes) {
    std::cout << documents::ToString(change.m_kind) << ' ' << change.m_path;
    if (!change.m_before.empty()) {
      std::cout << " was " << change.m_before;
    }
    if (!change.m_after.empty()) {
      std::cout << " now " << change.m_after;
    }
    std::cout << '\n';
  }
  if (changes.empty()) {
    std::cout << "no difference\n";
  }
}

// Stores the text `edited`, which was made from `stored`. Fails if the document
// has been changed since.
void StoreEditedDocument(AdminClient& client,
                         const ServiceId& service,
                         const StoredDocument& stored,
                         const std::string& edited) {
  const Revision revision =
      client.PutDocument(service, edited, stored.m_revision);
  std::cerr << "accepted " << service.value() << " at revision " << revision
            << '\n';
}

}  // namespace

void CheckDocument(const CtlOptions& options) {
  const auto document = documents::ParseDocument(
      ServiceFromOptions(options), settings::ReadFile(options.m_file),
      options.m_file);
  std::size_t adapters = 0;
  for (const auto& [id, model] : document.m_models) {
    adapters += model.m_adapters.size();
  }
  std::cout << "ok " << options.m_file << ": " << document.m_models.size()
            << " models, " << adapters << " adapters, "
            << document.m_accounts.size() << " accounts, "
            << document.m_plain_services.size() << " plain services\n";
}

void DiffDocument(const CtlOptions& options) {
  const ServiceId service = ServiceFromOptions(options);
  const auto proposed = documents::ParseDocument(
      service, settings::ReadFile(options.m_file), options.m_file);
  AdminClient client = MakeAdminClient(options);
  const auto stored = client.GetDocument(service);
  documents::Document current;
  current.m_service = service;
  if (stored) {
    current = documents::ParseDocument(service, stored->m_text, "stored");
  }
  PrintChanges(documents::DiffDocuments(current, proposed));
}

void ApplyDocument(const CtlOptions& options) {
  const ServiceId service = ServiceFromOptions(options);
  const std::string text = settings::ReadFile(options.m_file);
  documents::ParseDocument(service, text, options.m_file);
  AdminClient client = MakeAdminClient(options);
  Revision expected = options.m_expected_revision;
  if (expected < 0) {
    const auto stored = client.GetDocument(service);
    expected = stored ? stored->m_revision : 0;
  }
  const Revision revision = client.PutDocument(service, text, expected);
  std::cout << "accepted " << service.value() << " at revision " << revision
            << '\n';
}

void GetDocument(const CtlOptions& options) {
  AdminClient client = MakeAdminClient(options);
  const auto stored = FetchStoredDocument(client, ServiceFromOptions(options));
  std::cout << stored.m_text;
  std::cerr << "revision " << stored.m_revision << '\n';
}

void DeleteDocument(const CtlOptions& options) {
  const ServiceId service = ServiceFromOptions(options);
  AdminClient client = MakeAdminClient(options);
  client.DeleteDocument(service,
                        FetchStoredDocument(client, service).m_revision);
  std::cout << "removed " << service.value() << '\n';
}

void IssueKey(const CtlOptions& options) {
  const ServiceId service = ServiceFromOptions(options);
  AdminClient client = MakeAdminClient(options);
  const auto stored = FetchStoredDocument(client, service);
  const auto document =
      documents::ParseDocument(service, stored.m_text, "stored");
  const std::string key = RandomHex(kKeyBytes);
  StoreEditedDocument(
      client, service, stored,
      AddKey(service, stored.m_text, {options.m_account, options.m_key_name},
             SaltedDigest(document.m_key_salt, key)));
  std::cout << key << '\n';
}

void WithdrawKey(const CtlOptions& options) {
  const ServiceId service = ServiceFromOptions(options);
  AdminClient client = MakeAdminClient(options);
  const auto stored = FetchStoredDocument(client, service);
  StoreEditedDocument(client, service, stored,
                      RemoveKey(service, stored.m_text,
                                {options.m_account, options.m_key_name}));
}

void DrainEndpoint(const CtlOptions& options) {
  const ServiceId service = ServiceFromOptions(options);
  AdminClient client = MakeAdminClient(options);
  const auto stored = FetchStoredDocument(client, service);
  StoreEditedDocument(
      client, service, stored,
      SetDraining(service, stored.m_text, EndpointId(options.m_endpoint),
                  options.m_draining));
}

void PrintStatus(const CtlOptions& options) {
  AdminClient client = MakeAdminClient(options);
  const std::string status = client.GetPage("status");
  if (options.m_json) {
    std::cout << status << '\n';
    return;
  }
  constexpr int kIndent = 2;
  std::cout << nlohmann::json::parse(status).dump(kIndent) << '\n';
}

void ExplainRequest(const CtlOptions& options) {
  LogTimeline timeline(options.m_request_id);
  for (const std::string& path : options.m_logs) {
    std::ifstream file(path);
    if (!file) {
      throw Error(ErrorCode::kInvalidArgument, "cannot read " + path);
    }
    timeline.Read(file, std::filesystem::path(path).stem().string());
  }
  if (options.m_logs.empty()) {
    timeline.Read(std::cin, "stdin");
  }
  if (timeline.skipped_lines() > 0) {
    std::cerr << "loftctl: " << timeline.skipped_lines()
              << " lines are not log lines and were skipped\n";
  }
  timeline.Print(std::cout);
}

void PrintLogFields(const CtlOptions& /*options*/) {
  std::cout
      << "# Fields of log lines\n\n"
         "Each line also has `time` (UTC), `level`, `part` and `message`. "
         "Numbers are written as numbers.\n\n"
         "| field | meaning |\n| --- | --- |\n";
  for (const LogFieldInfo& field : kLogFields) {
    std::cout << "| `" << field.m_name << "` | " << field.m_meaning << " |\n";
  }
}

}  // namespace hickoryloft::tools
