// The requests that an entry is answering.

#ifndef SOURCE_ENTRY_RUNNING_REQUESTS_H_
#define SOURCE_ENTRY_RUNNING_REQUESTS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

#include "entry/document_set.h"

namespace hickoryloft::entry {

// A request that runs. Use on the loop's thread only.
class RunningRequest {
 public:
  virtual ~RunningRequest() = default;

  // Returns the account, or nullptr on an open route.
  virtual const Principal* principal() const = 0;
  // The request's key is no longer valid: end it now.
  virtual void WithdrawKey() = 0;
  // The limit of a planned stop has passed: end it now.
  virtual void Cut() = 0;
};

// Keeps running requests alive. Use on the loop's thread only.
class RunningRequests {
 public:
  // Returns the new request's number.
  std::uint64_t NextId() { return ++m_last_id; }
  void Add(std::uint64_t id, std::shared_ptr<RunningRequest> request);
  void Remove(std::uint64_t id);
  std::size_t size() const { return m_requests.size(); }

  // Ends the requests whose key `documents` no longer know.
  void WithdrawKeys(const DocumentSet& documents);
  // Ends all requests and returns their number.
  std::size_t CutAll();

 private:
  std::uint64_t m_last_id = 0;
  std::unordered_map<std::uint64_t, std::shared_ptr<RunningRequest>> m_requests;
};

}  // namespace hickoryloft::entry

#endif  // SOURCE_ENTRY_RUNNING_REQUESTS_H_
