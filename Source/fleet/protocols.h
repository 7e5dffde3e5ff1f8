// Interfaces to the surrounding platform. A platform adapter implements them;
// the platform's field and header names appear only there.

#ifndef SOURCE_FLEET_PROTOCOLS_H_
#define SOURCE_FLEET_PROTOCOLS_H_

#include <functional>
#include <optional>
#include <string>

#include "base/error.h"
#include "fleet/caller_request.h"
#include "fleet/configuration.h"
#include "fleet/endpoint_entry.h"
#include "fleet/engine_orders.h"
#include "http/server_exchange.h"
#include "keyvalue/key_value_service.h"

namespace hickoryloft::fleet {

enum class ItemClass { kConfiguration, kEndpoint, kEvacuation, kOther };

// Decodes the values that the platform writes to its key-value service.
// Implementations are stateless, so thread-safe.
class FleetDecoder {
 public:
  virtual ~FleetDecoder() = default;

  virtual ItemClass Classify(const std::string& key) const = 0;
  // Precondition: `key` is of class kEndpoint.
  virtual EndpointId EndpointOf(const std::string& key) const = 0;
  // Returns the failure domain that an operator asks to empty. Precondition:
  // `key` is of class kEvacuation. Throws Error(kProtocol) if the key names
  // none.
  virtual FailureDomainId EvacuatedDomainOf(const std::string& key) const = 0;
  // Both throw Error(kProtocol) that names the invalid field.
  virtual Configuration DecodeConfiguration(const std::string& value) const = 0;
  virtual EndpointEntry DecodeEndpoint(
      const keyvalue::KeyValue& item) const = 0;
};

// Decodes callers' requests and encodes them for endpoints. Implementations
// are stateless, so thread-safe.
class CallerProtocol {
 public:
  virtual ~CallerProtocol() = default;

  // Throws Error(kProtocol) that names the invalid field.
  virtual CallerRequest DecodeRequest(
      const http::ServerRequest& request) const = 0;
  virtual endpoint::CallRequest EncodeCall(const CallerRequest& request,
                                           const ForwardedCall& call) const = 0;
  virtual AnswerMetadata DecodeAnswer(
      const endpoint::AnswerHead& head) const = 0;
};

// Sends orders to engines and reads their reports. Each callback is called
// once, on the loop's thread.
class EngineControl {
 public:
  virtual ~EngineControl() = default;

  virtual void SendOrder(const endpoint::EndpointAddress& engine,
                         const EngineOrder& order,
                         std::function<void(OrderOutcome)> done) = 0;
  // Fails with kUnavailable if the engine is not at its address: it refused the
  // connection, or another instance answered.
  virtual void ReadReport(const endpoint::EndpointAddress& engine,
                          std::function<void(Result<EngineReport>)> done) = 0;
};

}  // namespace hickoryloft::fleet

#endif  // SOURCE_FLEET_PROTOCOLS_H_
