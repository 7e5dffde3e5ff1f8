// Parses an operators' document from TOML and validates it.

#ifndef SOURCE_DOCUMENTS_PARSE_DOCUMENT_H_
#define SOURCE_DOCUMENTS_PARSE_DOCUMENT_H_

#include <string>

#include "documents/document.h"

namespace hickoryloft::documents {

// Returns the document in `text`, with m_service set to `service` and
// m_revision 0. `source` is the name used in errors. Thread-safe.
// Throws Error(kInvalidDocument) that names source, line, key and what to do: a
// text over kMaxDocumentBytes, bad TOML, an unknown key (with the nearest known
// name), a wrong type, a value out of range, a name used twice, a reference to
// a name that does not exist.
Document ParseDocument(const ServiceId& service,
                       const std::string& text,
                       const std::string& source);

}  // namespace hickoryloft::documents

#endif  // SOURCE_DOCUMENTS_PARSE_DOCUMENT_H_
