#include "entry/serving_right.h"

#include <algorithm>

namespace hickoryloft::entry {

ServingRight::ServingRight(EventLoop& loop,
                           CoordinatorLink& link,
                           Events events)
    : m_loop(loop), m_link(link), m_events(std::move(events)) {}

void ServingRight::Start() {
  m_timer = m_loop.Every(kRenewInterval, [this] { Renew(); });
}

void ServingRight::Renew() {
  if (!m_link.connected()) {
    return;
  }
  wire::ServingQueryT query;
  query.documents_revision = m_events.m_revision();
  const MonotonicTime sent = m_loop.Now();
  m_link.Request(wire::MakeEnvelope(query), kReplyTimeout,
                 [this, sent, alive = std::weak_ptr<int>(m_alive)](
                     const Result<wire::EnvelopeT>& reply) {
                   if (!alive.expired()) {
                     OnReply(sent, reply);
                   }
                 });
}

void ServingRight::OnReply(MonotonicTime sent,
                           const Result<wire::EnvelopeT>& reply) {
  if (!reply) {
    return;  // The permission expires unless a later query succeeds.
  }
  const wire::ServingReplyT* serving_reply =
      reply.value().body.AsServingReply();
  if (serving_reply == nullptr) {
    return;
  }
  if (serving_reply->documents_revision > m_events.m_revision()) {
    m_events.m_documents_outdated();
    return;
  }
  m_valid_until =
      std::max(m_valid_until, sent + milliseconds(serving_reply->valid_for_ms));
}

}  // namespace hickoryloft::entry
