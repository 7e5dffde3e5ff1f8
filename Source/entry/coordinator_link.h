// The entry's connection to the coordinator of its host.

#ifndef SOURCE_ENTRY_COORDINATOR_LINK_H_
#define SOURCE_ENTRY_COORDINATOR_LINK_H_

#include "base/time.h"
#include "wire/connection.h"

namespace hickoryloft::entry {

// Sends requests to the coordinator. Use on the loop's thread only.
class CoordinatorLink {
 public:
  virtual ~CoordinatorLink() = default;

  // Sends `request` and calls `callback` once, with the failures of
  // wire::Connection::Request(). Fails with kUnavailable while not connected.
  virtual void Request(wire::EnvelopeT request,
                       Duration timeout,
                       wire::ReplyCallback callback) = 0;
  virtual bool connected() const = 0;
};

}  // namespace hickoryloft::entry

#endif  // SOURCE_ENTRY_COORDINATOR_LINK_H_
