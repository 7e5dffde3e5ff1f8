// Client of a coordinator's admin HTTP interface.

#ifndef SOURCE_TOOLS_CTL_ADMIN_CLIENT_H_
#define SOURCE_TOOLS_CTL_ADMIN_CLIENT_H_

#include <optional>
#include <string>

#include "base/ids.h"
#include "base/time.h"
#include "tools/common/blocking_http.h"

namespace hickoryloft::tools {

// The text of a stored document and its revision.
struct StoredDocument {
  std::string m_text;
  Revision m_revision = 0;
};

// Calls one coordinator. Every method throws Error: kUnavailable, kTimedOut,
// kOutcomeUnknown (the change may have been made), kUnauthenticated,
// kConflict, kInvalidDocument, kNotFound, kProtocol. Not thread-safe.
class AdminClient {
 public:
  AdminClient(HostPort coordinator, std::string operator_key, Duration timeout);

  // Returns the document of `service`, or nullopt if there is none.
  std::optional<StoredDocument> GetDocument(const ServiceId& service);

  // Stores `text` if the document still has `expected_revision`; 0 means that
  // the document must not exist. Returns the new revision once the document has
  // been accepted.
  Revision PutDocument(const ServiceId& service,
                       const std::string& text,
                       Revision expected_revision);

  // Removes the document if it still has `expected_revision`.
  void DeleteDocument(const ServiceId& service, Revision expected_revision);

  // Returns the JSON text at /admin/`page`.
  std::string GetPage(const std::string& page);

 private:
  keyvalue::HttpReply Call(keyvalue::HttpMethod method,
                           const std::string& path,
                           const std::string& body,
                           std::optional<Revision> expected_revision);

  HostPort m_coordinator;
  std::string m_operator_key;
  Duration m_timeout;
};

}  // namespace hickoryloft::tools

#endif  // SOURCE_TOOLS_CTL_ADMIN_CLIENT_H_
