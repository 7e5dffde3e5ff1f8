// Admission by a client account's rate and burst, in tokens.

#ifndef SOURCE_ENTRY_TOKEN_GATE_H_
#define SOURCE_ENTRY_TOKEN_GATE_H_

#include <cstdint>
#include <functional>

#include "base/error.h"
#include "base/ids.h"
#include "base/time.h"

namespace hickoryloft::entry {

struct TokenDecision {
  bool m_admitted = false;
  Duration m_retry_after{};      // When not admitted.
  bool m_exceeds_burst = false;  // Not admitted; a retry cannot succeed.
};

// Reserves tokens before a request runs. Use on the loop's thread only.
class TokenGate {
 public:
  virtual ~TokenGate() = default;

  // Reserves `tokens` of `account`, a qualified name. Calls `callback` once:
  // before it returns if enough tokens are held locally, else within `limit`.
  // Failure: kUnavailable if no owner of the account's rate shares can be
  // reached.
  virtual void Reserve(const ClientAccountId& account,
                       std::uint64_t tokens,
                       Duration limit,
                       std::function<void(Result<TokenDecision>)> callback) = 0;

  // Returns `tokens` that were reserved but not used.
  virtual void Refund(const ClientAccountId& account, std::uint64_t tokens) = 0;

  // Returns all unspent tokens to the share owners, before a planned stop.
  virtual void ReturnAll() = 0;
};

}  // namespace hickoryloft::entry

#endif  // SOURCE_ENTRY_TOKEN_GATE_H_
