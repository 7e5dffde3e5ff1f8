// The commands of loftctl. Each prints to standard output and throws Error.

#ifndef SOURCE_TOOLS_CTL_COMMANDS_H_
#define SOURCE_TOOLS_CTL_COMMANDS_H_

#include <string>
#include <vector>

#include "base/time.h"

namespace hickoryloft::tools {

// What the command line gives; each command uses its part.
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
  std::vector<std::string> m_logs;  // Files; none: standard input.
  long long m_if_revision = -1;  // -1: the revision that the tool reads first.
};

// Checks a document file as a coordinator would.
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
// Removes a key's digest, so that the key stops working.
void WithdrawKey(const CtlOptions& options);
// Adds an endpoint to, or removes it from, those that get no new work.
void DrainEndpoint(const CtlOptions& options);
// Prints members, claims and documents as one coordinator knows them.
void PrintStatus(const CtlOptions& options);

// Prints one request's timeline from the logs of several hosts.
void ExplainRequest(const CtlOptions& options);
// Prints the reference page of log fields.
void PrintLogFields(const CtlOptions& options);

}  // namespace hickoryloft::tools

#endif  // SOURCE_TOOLS_CTL_COMMANDS_H_
