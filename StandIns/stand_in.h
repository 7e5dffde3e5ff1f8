// Base of the stand-in servers: HTTP, delayed handling, faults and a record.

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

// An IP number and a port; port 0 lets the system choose.
struct ListenAddress {
  std::string m_address = "127.0.0.1";
  std::uint16_t m_port = 0;
};

// Returns the address in `text`, written ip:port. Throws
// Error(kInvalidArgument).
ListenAddress ParseListenAddress(const std::string& text);

// A server with `POST /faults` (sets the faults that its JSON body names) and
// `GET /record`. Use on the loop's thread only.
class StandIn {
 public:
  // Listens at once. Throws Error(kIo). Precondition: `loop` outlives it.
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
  // Sets the server's own faults; those named by the base are set already.
  virtual void ApplyFaults(const nlohmann::json& faults) = 0;

  // Whether the fault "freeze_ms" is in force.
  bool frozen() const { return m_loop.Now() < m_frozen_until; }

  // Consumes one of the replies that are to be lost. Returns whether the
  // current reply is one of them.
  bool TakeDroppedReply();

 private:
  static void OnRequest(evhttp_request* request, void* self);
  void Track(const CallPtr& call);
  void Accept(const CallPtr& call);
  void Dispatch(const CallPtr& call);
  void Route(const CallPtr& call);

  EventLoop& m_loop;
  evhttp* m_server;
  std::string m_address;
  std::uint16_t m_port = 0;
  Duration m_delay{};
  MonotonicTime m_frozen_until{};
  std::int64_t m_dropped_replies = 0;
  std::set<CallPtr> m_delayed;
  std::vector<std::weak_ptr<Call>> m_calls;  // Every call that may be alive.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace hickoryloft::standins

#endif  // STANDINS_STAND_IN_H_
