// Distinct string types, so that a host's name cannot be passed where an
// endpoint's is meant.

#ifndef SOURCE_BASE_IDS_H_
#define SOURCE_BASE_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace hickoryloft {

// A name of the kind given by `Tag`. Value type; thread-safe as a std::string
// is.
template <typename Tag>
class Name {
 public:
  Name() = default;
  explicit Name(std::string value) : m_value(std::move(value)) {}

  const std::string& value() const { return m_value; }
  bool empty() const { return m_value.empty(); }

  friend bool operator==(const Name&, const Name&) = default;
  friend std::strong_ordering operator<=>(const Name& left, const Name& right) {
    return left.m_value.compare(right.m_value) <=> 0;
  }
  friend std::ostream& operator<<(std::ostream& out, const Name& name) {
    return out << name.m_value;
  }

 private:
  std::string m_value;
};

using HostId = Name<struct HostTag>;
using FailureDomainId = Name<struct FailureDomainTag>;
using ClientAccountId = Name<struct ClientAccountTag>;
using EndpointId = Name<struct EndpointTag>;
using ModelId = Name<struct ModelTag>;
using AdapterId = Name<struct AdapterTag>;
using ServiceId = Name<struct ServiceTag>;

// Distinguishes two runs of one host. Drawn at random at start; never reused in
// practice.
using Incarnation = std::uint64_t;

// Orders the holders of one exclusive right: a later holder has a larger
// number.
using FencingNumber = std::int64_t;

// A revision of the platform's key-value service: one counter for all keys,
// never decreasing.
using Revision = std::int64_t;

}  // namespace hickoryloft

template <typename Tag>
struct std::hash<hickoryloft::Name<Tag>> {
  std::size_t operator()(const hickoryloft::Name<Tag>& name) const noexcept {
    return std::hash<std::string>{}(name.value());
  }
};

#endif  // SOURCE_BASE_IDS_H_
