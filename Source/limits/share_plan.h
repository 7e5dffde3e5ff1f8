// Divides a client account's rate and burst into shares.

#ifndef SOURCE_LIMITS_SHARE_PLAN_H_
#define SOURCE_LIMITS_SHARE_PLAN_H_

#include <cstdint>
#include <vector>

namespace hickoryloft::limits {

// The rate and burst of a client account, or of one share of it.
struct RateLimit {
  double m_tokens_per_second = 0;
  double m_burst_tokens = 0;

  friend bool operator==(const RateLimit&, const RateLimit&) = default;
};

// Number of shares per account in the daemons.
constexpr std::uint32_t kDefaultSlots = 4;

// Divides an account into shares and selects the shares that an entry requests
// tokens from. Immutable, so thread-safe.
class SharePlan {
 public:
  virtual ~SharePlan() = default;

  // Returns the number of shares.
  virtual std::uint32_t Slots() const = 0;
  // Returns the slots from which the entry on host number `host` requests
  // tokens, the preferred one first.
  virtual std::vector<std::uint32_t> SlotsFor(std::uint32_t host) const = 0;

  // Returns the limit of each share.
  RateLimit ShareOf(const RateLimit& account) const {
    return {.m_tokens_per_second = account.m_tokens_per_second / Slots(),
            .m_burst_tokens = account.m_burst_tokens / Slots()};
  }
};

// A fixed number of shares, each available to all entries. One share is the
// baseline with a single owner.
class SharedSlots : public SharePlan {
 public:
  // Precondition: `slots` > 0.
  explicit SharedSlots(std::uint32_t slots) : m_slots(slots) {}

  std::uint32_t Slots() const override { return m_slots; }
  std::vector<std::uint32_t> SlotsFor(std::uint32_t host) const override {
    std::vector<std::uint32_t> slots;
    for (std::uint32_t i = 0; i < m_slots; ++i) {
      slots.push_back((host + i) % m_slots);
    }
    return slots;
  }

 private:
  std::uint32_t m_slots;
};

// Baseline: one share per host, used by that host's entry only.
class EqualSplit : public SharePlan {
 public:
  // Precondition: `hosts` > 0.
  explicit EqualSplit(std::uint32_t hosts) : m_hosts(hosts) {}

  std::uint32_t Slots() const override { return m_hosts; }
  std::vector<std::uint32_t> SlotsFor(std::uint32_t host) const override {
    return {host % m_hosts};
  }

 private:
  std::uint32_t m_hosts;
};

}  // namespace hickoryloft::limits

#endif  // SOURCE_LIMITS_SHARE_PLAN_H_
