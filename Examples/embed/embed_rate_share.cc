// Embeds a rate share of libhickoryloft in a standalone program: one share
// owner and two entries that request tokens from it, in virtual time. Prints
// the number of admitted tokens and fails unless some were admitted and the
// total is at most burst + rate x window.

#include <cstdint>
#include <iostream>
#include <string>

#include "base/time.h"
#include "limits/share_owner.h"

namespace {

using hickoryloft::Duration;
using hickoryloft::milliseconds;
using hickoryloft::MonotonicTime;
using hickoryloft::limits::RateLimit;
using hickoryloft::limits::ShareOwner;
using hickoryloft::limits::TokenReply;
using hickoryloft::limits::TokenRequest;

// An entry that spends every grant immediately and in full.
class GreedyEntry {
 public:
  explicit GreedyEntry(std::string name) { m_request.m_entry = name; }

  // Requests `tokens` from `owner` and returns how many were granted.
  std::uint64_t RequestTokens(ShareOwner& owner,
                              std::uint64_t tokens,
                              MonotonicTime now) {
    m_request.m_tokens = tokens;
    ++m_request.m_sequence;
    const TokenReply reply = owner.GrantTokens(m_request, now);
    m_request.m_spent = reply.m_granted;
    m_request.m_epoch = reply.m_epoch;
    return reply.m_granted;
  }

 private:
  TokenRequest m_request;
};

}  // namespace

int main() {
  constexpr RateLimit kLimit = {.m_tokens_per_second = 100,
                                .m_burst_tokens = 500};
  constexpr milliseconds kStep{50};
  constexpr int kSteps = 400;
  constexpr std::uint64_t kTokensPerRequest = 40;

  MonotonicTime now{};
  ShareOwner owner(kLimit, /*account_burst=*/500, /*epoch=*/1, now, {});
  GreedyEntry first("first");
  GreedyEntry second("second");
  std::uint64_t admitted = 0;
  for (int i = 0; i < kSteps; ++i) {
    now += kStep;
    admitted += first.RequestTokens(owner, kTokensPerRequest, now);
    admitted += second.RequestTokens(owner, kTokensPerRequest, now);
  }

  const double window = hickoryloft::ToSeconds(Duration(kStep * kSteps));
  const double allowed =
      kLimit.m_burst_tokens + kLimit.m_tokens_per_second * window;
  std::cout << "admitted " << admitted << " of at most " << allowed
            << " tokens in " << window << " s\n";
  return admitted > 0 && static_cast<double>(admitted) <= allowed ? 0 : 1;
}
