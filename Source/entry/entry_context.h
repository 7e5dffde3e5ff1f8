// The components of an entry that all requests share.

#ifndef SOURCE_ENTRY_ENTRY_CONTEXT_H_
#define SOURCE_ENTRY_ENTRY_CONTEXT_H_

#include "base/event_loop.h"
#include "base/random.h"
#include "endpoint/http_client.h"
#include "entry/action_gate.h"
#include "entry/demand_tracker.h"
#include "entry/document_set.h"
#include "entry/engine_dispatcher.h"
#include "entry/entry_metrics.h"
#include "entry/entry_settings.h"
#include "entry/executed_actions.h"
#include "entry/running_requests.h"
#include "entry/token_gate.h"
#include "routing/retry_policy.h"

namespace hickoryloft::entry {

// Holds references only; the components must outlive all requests. Use on the
// loop's thread only.
struct EntryContext {
  EventLoop& m_loop;
  const EntrySettings& m_settings;
  RandomEngine& m_random;
  EntryMetrics& m_metrics;
  DocumentSet& m_documents;
  endpoint::HttpClient& m_client;
  TokenGate& m_tokens;
  ActionGate& m_actions;
  routing::EndpointTable& m_table;
  routing::LoadTracker& m_loads;
  EngineDispatcher& m_dispatcher;
  DemandTracker& m_demand;
  routing::RetryPolicy& m_retries;
  RunningRequests& m_running;
  ExecutedActions& m_executed;
};

}  // namespace hickoryloft::entry

#endif  // SOURCE_ENTRY_ENTRY_CONTEXT_H_
