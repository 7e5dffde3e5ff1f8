// Builds and connects the components of one entry.

#ifndef SOURCE_ENTRY_ENTRY_DAEMON_H_
#define SOURCE_ENTRY_ENTRY_DAEMON_H_

#include <functional>
#include <memory>

#include "endpoint/pooled_http_client.h"
#include "entry/caller_server.h"
#include "entry/coordinator_client.h"
#include "entry/drain.h"
#include "entry/entry_context.h"
#include "entry/request_router.h"
#include "entry/serving_right.h"
#include "metrics/registry.h"

namespace hickoryloft::entry {

// The gates that decide on rates and actions. They are created by the program,
// so that tests can substitute mocks.
struct Gates {
  std::unique_ptr<TokenGate> m_tokens;
  std::unique_ptr<ActionGate> m_actions;
  // Returns whether tokens are still being returned.
  std::function<bool()> m_returning_tokens;
};
using GateFactory = std::function<Gates(EventLoop&, CoordinatorLink&)>;

// Serves callers until a planned stop has ended. Use on the loop's thread only.
class EntryDaemon {
 public:
  // Listens and starts to connect to the coordinator. Throws Error(kIo) or
  // Error(kInvalidArgument) if it cannot listen.
  EntryDaemon(EventLoop& loop,
              const EntrySettings& settings,
              const GateFactory& make_gates);
  EntryDaemon(const EntryDaemon&) = delete;
  EntryDaemon& operator=(const EntryDaemon&) = delete;

  // Begins a planned stop, which calls EventLoop::Stop() when it has finished.
  // A second call ends all running requests at once.
  void BeginStop() { m_drain.Begin(); }

  std::uint16_t port() const { return m_server.port(); }
  DocumentSet& documents() { return m_documents; }

 private:
  CoordinatorClient::Events MakeLinkEvents();
  EntryState MakeState();
  Drain::Events MakeDrainEvents();
  void OnConnected();
  void OnNotice(const wire::EnvelopeT& notice);
  void QueryDocuments();
  void OnDocumentsChanged();
  void OnEndpointsChanged();
  void OnTick();

  EventLoop& m_loop;
  EntrySettings m_settings;
  RandomEngine m_random;
  metrics::Registry m_registry;
  EntryMetrics m_metrics;
  DocumentSet m_documents;
  routing::EndpointTable m_table;
  routing::LoadTracker m_loads;
  endpoint::PooledHttpClient m_client;
  CoordinatorClient m_link;
  ServingRight m_serving;
  Gates m_gates;
  EngineDispatcher m_dispatcher;
  DemandTracker m_demand;
  bool m_has_endpoint_table = false;  // A full table was received.
  std::unique_ptr<routing::RetryPolicy> m_retries;
  RunningRequests m_running;
  ExecutedActions m_executed;
  EntryContext m_context;
  RequestRouter m_router;
  CallerServer m_server;
  Drain m_drain;
  bool m_document_query_pending = false;
  std::unique_ptr<Timer> m_tick_timer;
};

}  // namespace hickoryloft::entry

#endif  // SOURCE_ENTRY_ENTRY_DAEMON_H_
