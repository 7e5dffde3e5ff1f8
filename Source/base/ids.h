// Distinct string types for names, so that passing, say, a host's name for an
// endpoint's does not compile.

#ifndef SOURCE_BASE_IDS_H_
#define SOURCE_BASE_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace hickoryloft {

// A name of the kind given by `Tag`. Value type, as thread-safe as std::string.
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
using RegionId = Name<struct RegionTag>;
using ClientAccountId = Name<struct ClientAccountTag>;
using EndpointId = Name<struct EndpointTag>;
using ModelId = Name<struct ModelTag>;
using AdapterId = Name<struct AdapterTag>;
using ServiceId = Name<struct ServiceTag>;

// Identifies one run of a host's process. Chosen at random at start, from so
// many values that a repetition is not expected.
using Incarnation = std::uint64_t;

// Orders the holders of a lease: each later holder has a larger number, so that
// commands of an earlier one can be rejected.
using FencingNumber = std::int64_t;

// A revision of the platform's key-value service, for all keys. Later ones are
// greater, also after a restore of the service (base/history.h).
using Revision = std::int64_t;

}  // namespace hickoryloft

template <typename Tag>
struct std::hash<hickoryloft::Name<Tag>> {
  std::size_t operator()(const hickoryloft::Name<Tag>& name) const noexcept {
    return std::hash<std::string>{}(name.value());
  }
};

#endif  // SOURCE_BASE_IDS_H_
