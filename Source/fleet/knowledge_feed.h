// Keeps a host's view of configuration, endpoints and the system's own keys
// current: one whole read, then a watch.

#ifndef SOURCE_FLEET_KNOWLEDGE_FEED_H_
#define SOURCE_FLEET_KNOWLEDGE_FEED_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/event_loop.h"
#include "fleet/configuration_view.h"
#include "fleet/endpoint_directory.h"
#include "fleet/protocols.h"
#include "keyvalue/key_value_service.h"

namespace hickoryloft::fleet {

// Use on the loop's thread only. The references must outlive it.
class KnowledgeFeed {
 public:
  struct Events {
    std::function<void()> m_configuration_changed;
    std::function<void(const EndpointId&)> m_endpoint_changed;
    // A key of the system's own has changed.
    std::function<void()> m_own_keys_changed;
  };

  KnowledgeFeed(EventLoop& loop,
                keyvalue::KeyValueService& store,
                const FleetDecoder& decoder,
                Events events);

  void Start();

  // Sets the time between batches of changes, so that changes that come
  // together cost one call.
  void SetBatchPause(Duration pause);

  // Null until the first configuration has been read.
  const std::shared_ptr<const ConfigurationView>& configuration() const {
    return m_configuration;
  }
  const EndpointDirectory& directory() const { return m_directory; }
  const std::map<std::string, keyvalue::KeyValue>& own_keys() const {
    return m_own_keys;
  }

  // True once everything has been read; it stays so.
  bool complete() const { return m_complete; }

  // Returns for how long changes may have gone unnoticed. Precondition:
  // complete().
  Duration Age() const { return m_loop.Now() - m_current_as_of; }

 private:
  void ReadAll();
  void TakeAll(const keyvalue::ReadReply& reply);
  void BeginWatch(Revision revision);
  void TakeBatch(const keyvalue::WatchBatch& batch);
  void TakeEvent(const keyvalue::WatchEvent& event);
  void TakeConfiguration(const keyvalue::KeyValue& item);
  bool TakeEndpoint(const keyvalue::KeyValue& item);
  void NoteProof(MonotonicTime as_of);
  bool Disturbed() const;
  void CheckLapsed();

  EventLoop& m_loop;
  keyvalue::KeyValueService& m_store;
  const FleetDecoder& m_decoder;
  Events m_events;
  std::shared_ptr<const ConfigurationView> m_configuration;
  EndpointDirectory m_directory;
  std::map<std::string, keyvalue::KeyValue> m_own_keys;
  bool m_complete = false;
  Duration m_batch_pause{};
  MonotonicTime m_current_as_of;
  // When the service was last seen to work again after a silence.
  MonotonicTime m_recovered_at;
  std::unique_ptr<keyvalue::Watch> m_watch;
  std::unique_ptr<Timer> m_retry;
  std::unique_ptr<Timer> m_lapse_timer;
};

}  // namespace hickoryloft::fleet

#endif  // SOURCE_FLEET_KNOWLEDGE_FEED_H_
