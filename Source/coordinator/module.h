// The interface between the coordinator's core (members, claims, documents,
// peers) and its modules (rate shares, actions, placement), each of which owns
// the state that one kind of claim protects.

#ifndef SOURCE_COORDINATOR_MODULE_H_
#define SOURCE_COORDINATOR_MODULE_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "base/ids.h"
#include "base/time.h"
#include "documents/document.h"
#include "keyvalue/key_value_service.h"
#include "messages_generated.h"
#include "metrics/registry.h"

namespace hickoryloft::coordinator {

// The name of a claim, which is also its key below the claims' prefix:
// "placement/3", "rate/<account>/1", "actions/7".
using ClaimName = std::string;

// One live host of the system.
struct Member {
  HostId m_host;
  Incarnation m_incarnation = 0;
  FailureDomainId m_failure_domain;
  std::string m_address;  // IP address of the coordinator's peer port.
  std::uint16_t m_port = 0;
  bool m_leaving = false;

  friend bool operator==(const Member&, const Member&) = default;
};

// The core's interface for modules. Use on the loop's thread only.
class Core {
 public:
  virtual ~Core() = default;

  virtual EventLoop& Loop() = 0;
  virtual MonotonicTime Now() const = 0;
  virtual keyvalue::KeyValueService& KeyValues() = 0;
  virtual metrics::Registry& Metrics() = 0;

  virtual const Member& Self() const = 0;
  // The live members, this host included, ordered by host.
  virtual const std::vector<Member>& Members() const = 0;
  // The documents in force at this host, by service.
  virtual const std::vector<documents::Document>& Documents() const = 0;

  // Returns the fencing number of `claim` if this host holds it at this
  // instant. Call right before each effect.
  virtual std::optional<FencingNumber> HeldFence(
      const ClaimName& claim) const = 0;
  // Returns the last known holder of `claim`, if any.
  virtual std::optional<HostId> Holder(const ClaimName& claim) const = 0;

  // Send a message that has no reply to one coordinator, to all other
  // coordinators, or to all entries of this host.
  virtual void NotifyHost(const HostId& host, wire::EnvelopeT notice) = 0;
  virtual void NotifyAllHosts(const wire::EnvelopeT& notice) = 0;
  virtual void NotifyEntries(const wire::EnvelopeT& notice) = 0;
  // Sends a request to the holder of `claim`, which may be this host.
  // `callback` is called once.
  virtual void RequestFromHolder(
      const ClaimName& claim,
      wire::EnvelopeT request,
      Duration timeout,
      std::function<void(Result<wire::EnvelopeT>)> callback) = 0;
};

// Sends the one reply to a request.
using Responder = std::function<void(wire::EnvelopeT reply)>;

// A part of the coordinator with its own claims. All methods are called on the
// loop's thread.
class Module {
 public:
  virtual ~Module() = default;

  // A short fixed name, for logs.
  virtual std::string_view name() const = 0;

  // Returns the claims of this module that should exist in the fleet, given the
  // documents in force. The core spreads them over the members by rendezvous
  // order and acquires those that fall to this host.
  virtual std::vector<ClaimName> WantedClaims() const = 0;

  // Returns whether holders of these claims can act while the key-value service
  // is unreachable. Only then do the claims need a successor; without one, any
  // host may acquire them as soon as their holder's lease has expired.
  virtual bool ActsInOutage() const = 0;

  // Returns whether this module has the data that the host needs to serve.
  virtual bool Ready() const = 0;

  // Returns the claim whose holder must answer `request`, or none if the
  // request is not this module's.
  virtual std::optional<ClaimName> ClaimFor(
      const wire::EnvelopeT& request) const = 0;

  // Answers a request for a claim that this host holds. Called only while the
  // claim is held.
  virtual void HandleRequest(const ClaimName& claim,
                             wire::EnvelopeT request,
                             Responder respond) = 0;

  // Handles a notice from another coordinator. Returns false if it is not this
  // module's.
  virtual bool HandleNotice(const HostId& from,
                            const wire::EnvelopeT& notice) = 0;

  // The host now holds `claim`. `hand_over` is the state from the previous
  // holder's PrepareHandOver(), if it was received.
  virtual void OnClaimHeld(const ClaimName& claim,
                           FencingNumber fence,
                           const std::optional<std::string>& hand_over) = 0;
  // The host no longer holds `claim`; the module must start no further effect
  // under it.
  virtual void OnClaimLost(const ClaimName& claim) = 0;
  // Called once before a planned hand-over: stop using the claim and return the
  // state for the next holder.
  virtual std::string PrepareHandOver(const ClaimName& claim) = 0;
  // Returns whether work under `claim` is still open, so that a planned stop
  // waits for it.
  virtual bool HasOpenWork(const ClaimName& claim) const = 0;

  virtual void OnDocumentsChanged() = 0;
  virtual void OnMembersChanged() = 0;
  // An entry of this host has connected; use `send` to send it the state that
  // it needs.
  virtual void OnEntryConnected(
      const std::function<void(const wire::EnvelopeT&)>& send) = 0;
  // Called at a fixed short interval.
  virtual void OnTick(MonotonicTime now) = 0;
};

}  // namespace hickoryloft::coordinator

#endif  // SOURCE_COORDINATOR_MODULE_H_
