// Immutable bytes that several owners share without copies.

#ifndef SOURCE_BASE_SHARED_BYTES_H_
#define SOURCE_BASE_SHARED_BYTES_H_

#include <cstddef>
#include <memory>
#include <string>
#include <utility>

namespace hickoryloft {

// Copies share the bytes. Different copies may be used by several threads.
class SharedBytes {
 public:
  SharedBytes() = default;
  SharedBytes(std::string bytes) {
    if (!bytes.empty()) {
      m_bytes = std::make_shared<const std::string>(std::move(bytes));
    }
  }
  SharedBytes(const char* text) : SharedBytes(std::string(text)) {}

  const std::string& text() const {
    static const std::string kEmpty;
    return m_bytes ? *m_bytes : kEmpty;
  }
  operator const std::string&() const { return text(); }
  std::size_t size() const { return text().size(); }
  bool empty() const { return m_bytes == nullptr; }

 private:
  std::shared_ptr<const std::string> m_bytes;  // Null if empty.
};

}  // namespace hickoryloft

#endif  // SOURCE_BASE_SHARED_BYTES_H_
