// Text edits of a service's document that preserve comments and order.

#ifndef SOURCE_TOOLS_CTL_DOCUMENT_EDIT_H_
#define SOURCE_TOOLS_CTL_DOCUMENT_EDIT_H_

#include <string>

#include "base/ids.h"

namespace hickoryloft::tools {

// Identifies a key of a client account in a document.
struct KeyName {
  std::string m_account;
  std::string m_key;
};

// Returns `text` with the key added. Throws Error(kInvalidDocument) if the
// account does not exist or already has a key of that name. Thread-safe.
std::string AddKey(const ServiceId& service,
                   const std::string& text,
                   const KeyName& name,
                   const std::string& digest);

// Returns `text` without the key. Throws Error(kNotFound) if there is none, and
// Error(kInvalidDocument) if the key is not written as a table of its own, so
// that an operator must edit the text by hand. Thread-safe.
std::string RemoveKey(const ServiceId& service,
                      const std::string& text,
                      const KeyName& name);

// Returns `text` with `endpoint` added to or removed from capacity.draining.
// Throws Error(kInvalidDocument) if there is no table [capacity] or the list is
// not written on one line of it. Thread-safe.
std::string SetDraining(const ServiceId& service,
                        const std::string& text,
                        const EndpointId& endpoint,
                        bool draining);

}  // namespace hickoryloft::tools

#endif  // SOURCE_TOOLS_CTL_DOCUMENT_EDIT_H_
