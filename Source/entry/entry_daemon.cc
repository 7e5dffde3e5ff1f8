#include "entry/entry_daemon.h"

#include "base/log.h"
#include "entry/endpoint_view.h"
#include "routing/budgeted_retries.h"
#include "routing/three_tries.h"

namespace hickoryloft::entry {

namespace {

constexpr Duration kTickInterval = seconds(1);
constexpr Duration kDocumentsReplyTimeout = seconds(5);

const Logger kLog("entry");

std::unique_ptr<routing::RetryPolicy> MakeRetryPolicy(const std::string& name) {
  if (name == "three-tries") {
    return std::make_unique<routing::ThreeTries>();
  }
  return std::make_unique<routing::BudgetedRetries>();
}

}  // namespace

EntryDaemon::EntryDaemon(EventLoop& loop,
                         const EntrySettings& settings,
                         const GateFactory& make_gates)
    : m_loop(loop),
      m_settings(settings),
      m_random(RandomBits()),
      m_metrics(m_registry),
      m_client(loop, settings.m_endpoint_connect_timeout),
      m_link(loop, m_settings, MakeLinkEvents()),
      m_serving(loop,
                m_link,
                {.m_revision = [this] { return m_documents.revision(); },
                 .m_documents_outdated = [this] { QueryDocuments(); }}),
      m_gates(make_gates(loop, m_link)),
      m_dispatcher(loop, m_settings, m_table, m_loads, m_random),
      m_demand(loop, m_link),
      m_retries(MakeRetryPolicy(settings.m_policy.m_retries)),
      m_context{.m_loop = loop,
                .m_settings = m_settings,
                .m_random = m_random,
                .m_metrics = m_metrics,
                .m_documents = m_documents,
                .m_client = m_client,
                .m_tokens = *m_gates.m_tokens,
                .m_actions = *m_gates.m_actions,
                .m_table = m_table,
                .m_loads = m_loads,
                .m_dispatcher = m_dispatcher,
                .m_demand = m_demand,
                .m_retries = *m_retries,
                .m_running = m_running,
                .m_executed = m_executed},
      m_router(m_context, MakeState()),
      m_server(loop,
               settings.m_listen,
               settings.m_caller,
               [this](const std::shared_ptr<CallerExchange>& exchange) {
                 m_router.Handle(exchange);
               }),
      m_drain(loop, settings.m_drain, MakeDrainEvents()),
      m_tick_timer(loop.Every(kTickInterval, [this] { OnTick(); })) {
  m_link.Start();
  m_serving.Start();
  kLog.Info("Listening.", {{"address", settings.m_listen.m_address},
                           {"port", m_server.port()}});
}

CoordinatorClient::Events EntryDaemon::MakeLinkEvents() {
  return {
      .m_connected = [this] { OnConnected(); },
      .m_notice = [this](const wire::EnvelopeT& notice) { OnNotice(notice); }};
}

EntryState EntryDaemon::MakeState() {
  return {.m_ready =
              [this] {
                return m_drain.phase() == DrainPhase::kServing &&
                       m_has_endpoint_table && m_serving.Valid(m_loop.Now());
              },
          .m_serving = [this] { return m_serving.Valid(m_loop.Now()); },
          .m_draining =
              [this] {
                return m_drain.phase() != DrainPhase::kServing &&
                       m_drain.phase() != DrainPhase::kUnready;
              }};
}

Drain::Events EntryDaemon::MakeDrainEvents() {
  return {.m_refuse_requests = [this] { m_server.CloseAfterAnswers(); },
          .m_idle = [this] { return m_running.size() == 0; },
          .m_abort_requests = [this] { return m_running.AbortAll(); },
          .m_return_tokens =
              [this] {
                m_server.StopListening();
                m_gates.m_tokens->ReturnAll();
              },
          .m_returning_tokens = [this] { return m_gates.m_returning_tokens(); },
          .m_stopped = [this] { m_loop.Stop(); }};
}

void EntryDaemon::OnConnected() {
  QueryDocuments();
  m_serving.Renew();
}

void EntryDaemon::QueryDocuments() {
  if (m_document_query_pending) {
    return;
  }
  m_document_query_pending = true;
  wire::DocumentQueryT query;
  query.known_revision = m_documents.revision();
  m_link.Request(
      wire::MakeEnvelope(query), kDocumentsReplyTimeout,
      [this](const Result<wire::EnvelopeT>& reply) {
        m_document_query_pending = false;
        const auto* snapshot =
            reply ? reply.value().body.AsDocumentSnapshot() : nullptr;
        if (snapshot == nullptr) {
          return;  // A serving reply with newer documents repeats the query.
        }
        if (m_documents.ApplySnapshot(*snapshot)) {
          OnDocumentsChanged();
        }
        m_serving.Renew();
      });
}

void EntryDaemon::OnNotice(const wire::EnvelopeT& notice) {
  if (const auto* update = notice.body.AsDocumentUpdate()) {
    if (m_documents.Apply(*update)) {
      OnDocumentsChanged();
    }
  } else if (const auto* endpoints = notice.body.AsEndpointUpdate()) {
    ApplyEndpointUpdate(*endpoints, m_loop.Now(), m_table, m_loads);
    m_has_endpoint_table = m_has_endpoint_table || endpoints->full;
    OnEndpointsChanged();
  }
}

void EntryDaemon::OnDocumentsChanged() {
  m_table.SetDraining(m_documents.DrainingEndpoints());
  m_running.AbortWithdrawn(m_documents);
  OnEndpointsChanged();
}

void EntryDaemon::OnEndpointsChanged() {
  m_dispatcher.OnTableChanged();
  m_demand.OnEndpointsChanged([this](const std::string& served_name) {
    return !m_table.Ready(served_name).empty();
  });
}

void EntryDaemon::OnTick() {
  m_table.ExpireHints(m_loop.Now());
  m_registry.GetGauge("loft_entry_connections", "Open connections of callers.")
      .Set(static_cast<double>(m_server.connections()));
  m_registry.GetGauge("loft_entry_running_requests", "Requests being answered.")
      .Set(static_cast<double>(m_running.size()));
  m_registry
      .GetGauge("loft_entry_queued_requests", "Requests waiting for an engine.")
      .Set(static_cast<double>(m_dispatcher.queued()));
}

}  // namespace hickoryloft::entry
