// Compares two documents of one service.

#ifndef SOURCE_DOCUMENTS_DIFF_DOCUMENTS_H_
#define SOURCE_DOCUMENTS_DIFF_DOCUMENTS_H_

#include <string>
#include <vector>

#include "documents/document.h"

namespace hickoryloft::documents {

enum class ChangeKind { kAdded, kRemoved, kChanged };

// A value that differs between two documents.
struct DocumentChange {
  ChangeKind m_kind = ChangeKind::kChanged;
  std::string m_path;    // Dotted, as in the TOML text.
  std::string m_before;  // Empty if added.
  std::string m_after;   // Empty if removed.

  friend bool operator==(const DocumentChange&,
                         const DocumentChange&) = default;
};

// Returns the changes from `before` to `after`, ordered by path. Digests of
// keys are truncated. Thread-safe.
std::vector<DocumentChange> DiffDocuments(const Document& before,
                                          const Document& after);

// Returns the lower-case name of `kind`. Thread-safe.
std::string_view ToString(ChangeKind kind);

}  // namespace hickoryloft::documents

#endif  // SOURCE_DOCUMENTS_DIFF_DOCUMENTS_H_
