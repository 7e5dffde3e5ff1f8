// Base class of the stand-in servers: HTTP serving, fault injection and a
// record of the server's activity.

#ifndef STANDINS_STAND_IN_H_
#define STANDINS_STAND_IN_H_

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "StandIns/call.h"
#include "base/event_loop.h"

struct evhttp;

namespace hickoryloft::standins {

// An IP address and a port; with port 0 the system chooses a free port.
struct ListenAddress {
  std::string m_address = "127.0.0.1";
  std::uint16_t m_port = 0;
};

// Parses an address of the form ip:port. Throws Error(kInvalidArgument) if
// `text` has another form.
ListenAddress ParseListenAddress(const std::string& text);

// A server with `POST /faults` (sets the faults that its JSON body names) and
// `GET /record`. The faults that all stand-ins have in common are "delay_ms"
// (delays the handling of every request), "freeze_ms" (holds new requests
// until that time is over) and "drop_replies" (a count of replies that are
// dropped). Requests to /faults and /record are never delayed. Use on the
// loop's thread only.
class StandIn {
 public:
  // Starts listening. Throws Error(kIo) if that fails. Precondition: `loop`
  // outlives the object.
  StandIn(EventLoop& loop, const ListenAddress& listen);
  virtual ~StandIn();
  StandIn(const StandIn&) = delete;
  StandIn& operator=(const StandIn&) = delete;

  std::uint16_t port() const { return m_port; }
  const std::string& address() const { return m_address; }

  // Sets the faults that `faults` names, as `POST /faults` does.
  void SetFaults(const nlohmann::json& faults);
  // Returns what the server has done, as `GET /record` does.
  virtual nlohmann::json Record() const = 0;

 protected:
  EventLoop& loop() { return m_loop; }

  // Answers the call, now or later. A JSON exception or an Error thrown from
  // here is answered with status 400.
  virtual void Handle(const CallPtr& call) = 0;
  // Sets the faults of the derived class; the common ones are already set.
  virtual void ApplyFaults(const nlohmann::json& faults) = 0;

  // Returns whether the fault "freeze_ms" is in effect.
  bool frozen() const { return m_loop.Now() < m_frozen_until; }

  // Returns whether the current reply must be dropped, and decrements the count
  // of replies that are still to be dropped.
  bool ConsumeDroppedReply();

 private:
  static void OnRequest(evhttp_request* request, void* self);
  void Track(const CallPtr& call);
  void HandleAfterDelay(const CallPtr& call);
  void Dispatch(const CallPtr& call);
  void Route(const CallPtr& call);

  EventLoop& m_loop;
  evhttp* m_server;
  std::string m_address;
  std::uint16_t m_port = 0;
  Duration m_delay{};
  MonotonicTime m_frozen_until{};
  std::int64_t m_replies_to_drop = 0;
  std::set<CallPtr> m_delayed;
  // All live calls; Track() removes expired ones.
  std::vector<std::weak_ptr<Call>> m_calls;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace hickoryloft::standins

#endif  // STANDINS_STAND_IN_H_
