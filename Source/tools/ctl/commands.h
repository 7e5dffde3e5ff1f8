// The commands of loftctl. Each throws Error on failure. Output goes to
// standard output, notes such as the new revision of an edit to standard error.

#ifndef SOURCE_TOOLS_CTL_COMMANDS_H_
#define SOURCE_TOOLS_CTL_COMMANDS_H_

#include <string>
#include <vector>

#include "base/time.h"

namespace hickoryloft::tools {

// Values of the command line. Each command uses some of them.
struct CtlOptions {
  std::string m_coordinator = "127.0.0.1:7401";
  std::string m_operator_key_file;
  milliseconds m_timeout{10000};
  bool m_json = false;
  std::string m_service;
  std::string m_file;
  std::string m_account;
  std::string m_key_name;
  std::string m_endpoint;
  bool m_draining = true;
  std::string m_request_id;
  std::vector<std::string> m_logs;  // Files; standard input if empty.
  // Revision that the stored document must have. If negative, the revision at
  // the start of the command.
  long long m_expected_revision = -1;
};

// Validates a document file as a coordinator does, without contacting one.
void CheckDocument(const CtlOptions& options);
// Prints how a file differs from the stored document.
void DiffDocument(const CtlOptions& options);
// Stores a file and waits until it is accepted.
void ApplyDocument(const CtlOptions& options);
// Prints the stored document.
void GetDocument(const CtlOptions& options);
// Removes the stored document.
void DeleteDocument(const CtlOptions& options);
// Creates a key, stores its digest and prints the key once.
void IssueKey(const CtlOptions& options);
// Removes the digest of a key, which invalidates the key.
void WithdrawKey(const CtlOptions& options);
// Adds an endpoint to the draining endpoints, which get no new work, or removes
// it from them.
void DrainEndpoint(const CtlOptions& options);
// Prints the status of one coordinator: members, claims and documents.
void PrintStatus(const CtlOptions& options);

// Prints the timeline of one request from the logs of several hosts.
void ExplainRequest(const CtlOptions& options);
// Prints the reference page of log fields as Markdown.
void PrintLogFields(const CtlOptions& options);

}  // namespace hickoryloft::tools

#endif  // SOURCE_TOOLS_CTL_COMMANDS_H_
