#include "host/permit_exchange.h"

#include <algorithm>
#include <string>
#include <utility>

#include "base/hashing.h"
#include "base/log.h"

namespace hickoryloft::host {

namespace {

const Logger kLog("permits");

}  // namespace

PermitExchange::PermitExchange(EventLoop& loop,
                               HostId host,
                               const fleet::FleetStateFeed& knowledge,
                               FleetExchange& exchange,
                               std::function<void()> on_permit)
    : m_loop(loop),
      m_host(std::move(host)),
      m_knowledge(knowledge),
      m_exchange(exchange),
      m_on_permit(std::move(on_permit)) {
  exchange.SetOtherMessageHandler(
      [this](const wire::EnvelopeT& envelope) { HandleMessage(envelope); });
}

void PermitExchange::RecordAnswer(const EndpointId& endpoint,
                                  std::int64_t started_at_ms,
                                  std::optional<double> requests_per_second) {
  if (!m_limits.Record(endpoint, started_at_ms, requests_per_second)) {
    return;
  }
  if (!requests_per_second) {
    kLog.Info("endpoint no longer limits requests",
              {{"endpoint", endpoint.value()}});
    return;
  }
  kLog.Info("endpoint limits the requests of all hosts",
            {{"endpoint", endpoint.value()},
             {"requests_per_second", *requests_per_second},
             {"issuer", IssuerOf(endpoint).value()}});
}

bool PermitExchange::MaySend(const fleet::EndpointEntry& entry) const {
  return !LimitOf(entry) || m_held.Holds(entry.m_id, m_loop.Now());
}

std::optional<double> PermitExchange::LimitOf(
    const fleet::EndpointEntry& entry) const {
  const auto named = m_limits.LimitOf(entry.m_id, entry.m_started_at_ms);
  if (!entry.IsCold(m_loop.Now()) || !m_knowledge.configuration()) {
    return named;
  }
  const fleet::ServiceSpec* service =
      m_knowledge.configuration()->FindService(entry.m_service);
  if (service == nullptr || service->m_cold_requests_per_second <= 0) {
    return named;
  }
  return std::min(named.value_or(service->m_cold_requests_per_second),
                  service->m_cold_requests_per_second);
}

HostId PermitExchange::IssuerOf(const EndpointId& endpoint) const {
  std::vector<std::string> names = {m_host.value()};
  for (const auto& [host, peer] : m_exchange.peers()) {
    names.push_back(host.value());
  }
  return HostId(names[RendezvousOrder(endpoint.value(), names).front()]);
}

void PermitExchange::Ask(const fleet::EndpointEntry& entry, bool urgent) {
  const MonotonicTime now = m_loop.Now();
  const auto limit = LimitOf(entry);
  if (!limit || !m_held.BeginAsking(entry.m_id, urgent, now)) {
    return;
  }
  const HostId issuer = IssuerOf(entry.m_id);
  if (issuer == m_host) {
    HandleReply(entry.m_id, m_issuer.Take(entry.m_id, *limit, now));
    return;
  }
  wire::PermitRequestT request;
  request.host = m_host.value();
  request.endpoint = entry.m_id.value();
  request.requests_per_second = *limit;
  m_exchange.Send(issuer, wire::MakeEnvelope(std::move(request)));
}

void PermitExchange::HandleMessage(const wire::EnvelopeT& envelope) {
  if (const auto* request = envelope.body.AsPermitRequest()) {
    const EndpointId endpoint(request->endpoint);
    const auto wait =
        m_issuer.Take(endpoint, request->requests_per_second, m_loop.Now());
    wire::PermitReplyT reply;
    reply.endpoint = request->endpoint;
    reply.issued = !wait;
    reply.wait_ms = static_cast<std::uint32_t>(
        ToMillis(wait.value_or(Duration{})).count() + 1);
    m_exchange.Send(HostId(request->host),
                    wire::MakeEnvelope(std::move(reply)));
  } else if (const auto* reply = envelope.body.AsPermitReply()) {
    HandleReply(EndpointId(reply->endpoint),
                reply->issued
                    ? std::nullopt
                    : std::optional<Duration>(milliseconds(reply->wait_ms)));
  }
}

void PermitExchange::HandleReply(const EndpointId& endpoint,
                                 std::optional<Duration> wait) {
  m_held.RecordReply(endpoint, wait, m_loop.Now());
  if (!wait) {
    m_on_permit();
  } else if (!m_ask_again) {
    m_ask_again = m_loop.After(*wait, [this] {
      m_ask_again.reset();
      m_on_permit();
    });
  }
}

}  // namespace hickoryloft::host
