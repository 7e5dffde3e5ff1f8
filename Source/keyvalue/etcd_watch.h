// Decodes the answer stream of an etcd watch.

#ifndef SOURCE_KEYVALUE_ETCD_WATCH_H_
#define SOURCE_KEYVALUE_ETCD_WATCH_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/error.h"
#include "keyvalue/http_client.h"
#include "keyvalue/key_value_service.h"

namespace hickoryloft::keyvalue {

// Parses a stream of JSON lines, whose bytes are passed to Feed(). Use on the
// loop's thread only.
class EtcdWatch : public Watch {
 public:
  // Drops events up to `from_revision`, in case the service repeats them.
  EtcdWatch(Revision from_revision,
            std::function<void(WatchBatch)> changed,
            std::function<void(Error)> ended)
      : m_seen(from_revision),
        m_changed(std::move(changed)),
        m_ended(std::move(ended)) {}

  // Keeps `stream` open as long as the watch lives.
  void Attach(std::unique_ptr<HttpStream> stream) {
    m_stream = std::move(stream);
  }

  // Processes the next bytes. A callback may destroy the watch.
  void Feed(std::string_view bytes);
  // Ends the watch with `error`. Further calls do nothing.
  void End(const Error& error);

 private:
  static constexpr std::size_t kMaxLineBytes = 64 << 20;

  void HandleLine(const std::string& line);
  WatchBatch ParseLine(const std::string& line) const;

  Revision m_seen;
  std::function<void(WatchBatch)> m_changed;
  std::function<void(Error)> m_ended;
  std::string m_partial;  // The start of an incomplete line.
  std::unique_ptr<HttpStream> m_stream;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace hickoryloft::keyvalue

#endif  // SOURCE_KEYVALUE_ETCD_WATCH_H_
