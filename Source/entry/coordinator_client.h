// Implements CoordinatorLink with a connection that is restored when lost.

#ifndef SOURCE_ENTRY_COORDINATOR_CLIENT_H_
#define SOURCE_ENTRY_COORDINATOR_CLIENT_H_

#include <functional>
#include <memory>

#include "base/event_loop.h"
#include "base/ids.h"
#include "entry/coordinator_link.h"
#include "entry/entry_settings.h"

namespace hickoryloft::entry {

// Keeps one connection to the coordinator. Use on the loop's thread only;
// `loop` must outlive it.
class CoordinatorClient : public CoordinatorLink {
 public:
  static constexpr Duration kReconnectDelay = milliseconds(200);

  struct Events {
    std::function<void()> m_connected;
    std::function<void(wire::EnvelopeT)> m_notice;
  };

  CoordinatorClient(EventLoop& loop,
                    const EntrySettings& settings,
                    Events events);

  // Starts connecting.
  void Start();

  void Request(wire::EnvelopeT request,
               Duration timeout,
               wire::ReplyCallback callback) override;
  bool connected() const override;

 private:
  void Connect();
  void OnConnected();
  void OnClosed(const Error& error);

  EventLoop& m_loop;
  SocketSetting m_target;
  wire::HelloT m_hello;
  Events m_events;
  std::shared_ptr<wire::Connection> m_connection;
  std::unique_ptr<Timer> m_reconnect_timer;
  bool m_loss_logged = false;
};

}  // namespace hickoryloft::entry

#endif  // SOURCE_ENTRY_COORDINATOR_CLIENT_H_
