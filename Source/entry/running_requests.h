// The requests that an entry is answering.

#ifndef SOURCE_ENTRY_RUNNING_REQUESTS_H_
#define SOURCE_ENTRY_RUNNING_REQUESTS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

#include "entry/document_set.h"

namespace hickoryloft::entry {

// A request that is being answered. Use on the loop's thread only.
class RunningRequest {
 public:
  virtual ~RunningRequest() = default;

  // Returns the principal of the caller, or nullptr on an open route.
  virtual const Principal* principal() const = 0;
  // Ends the request because its key is no longer valid.
  virtual void AbortForWithdrawnKey() = 0;
  // Ends the request because a planned stop no longer waits for it.
  virtual void Abort() = 0;
};

// Owns the running requests. Use on the loop's thread only.
class RunningRequests {
 public:
  // Returns the id for a new request.
  std::uint64_t NextId() { return ++m_last_id; }
  void Add(std::uint64_t id, std::shared_ptr<RunningRequest> request);
  void Remove(std::uint64_t id);
  std::size_t size() const { return m_requests.size(); }

  // Ends the requests whose key is no longer valid in `documents`.
  void AbortWithdrawn(const DocumentSet& documents);
  // Ends all requests and returns their number.
  std::size_t AbortAll();

 private:
  std::uint64_t m_last_id = 0;
  std::unordered_map<std::uint64_t, std::shared_ptr<RunningRequest>> m_requests;
};

}  // namespace hickoryloft::entry

#endif  // SOURCE_ENTRY_RUNNING_REQUESTS_H_
