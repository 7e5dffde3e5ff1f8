#include "StandIns/platform_stand_in.h"

#include <algorithm>
#include <utility>

#include "base/error.h"
#include "keyvalue/etcd_json.h"

namespace hickoryloft::standins {

namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kRpcInvalidArgument = 3;
constexpr int kRpcNotFound = 5;
constexpr milliseconds kExpiryInterval(20);
constexpr seconds kProgressInterval(1);

// Returns the host from the User-Agent header "hickoryloft/<host>", or "".
std::string HostOf(const Call& call) {
  static const std::string kPrefix = "hickoryloft/";
  const std::string agent = call.Header("user-agent");
  return agent.starts_with(kPrefix) ? agent.substr(kPrefix.size()) : "";
}

bool IsWrite(CallKind kind) {
  return kind == CallKind::kSwap || kind == CallKind::kLease;
}

void SendLine(Call& call, const Json& result) {
  call.SendChunk(Json{{"result", result}}.dump() + "\n");
}

bool InRange(const std::string& key,
             const std::string& first,
             const std::string& end) {
  return key >= first && (end.empty() || key < end);
}

}  // namespace

PlatformStandIn::PlatformStandIn(EventLoop& loop, const ListenAddress& listen)
    : StandIn(loop, listen),
      m_expiry_timer(loop.Every(kExpiryInterval,
                                [this] {
                                  const Revision before = m_store.revision();
                                  m_store.Expire(this->loop().Now());
                                  if (m_store.revision() != before) {
                                    ScheduleDelivery();
                                  }
                                })),
      m_progress_timer(
          loop.Every(kProgressInterval, [this] { SendProgress(); })) {}

nlohmann::json PlatformStandIn::Record() const {
  return {{"calls", m_calls_by_kind},
          {"calls_by_host", m_calls_by_host},
          {"waiting_watches", m_watches.size()},
          {"most_waiting_watches", m_most_watches},
          {"revision", m_store.revision()}};
}

void PlatformStandIn::Handle(const CallPtr& call) {
  const Json body = call->Json();
  const CallKind kind = KindOf(call->path(), body);
  if (call->path() == "/hosts" && call->method() == "POST") {
    m_hosts = body;
    call->Send(kOk, Json::object());
    return;
  }
  const std::string host = HostOf(*call);
  Count(host, kind);
  if (m_outage == Outage::kClose) {
    call->Drop();
    return;
  }
  if (m_outage == Outage::kHang || m_cut_hosts.contains(host)) {
    HoldUnanswered(call);
    return;
  }
  if (kind == CallKind::kHosts) {
    call->Send(kOk, m_hosts);
  } else if (kind == CallKind::kWatch) {
    StartWatch(call, host, body);
  } else {
    HandleUnary(call, body);
  }
}

void PlatformStandIn::ApplyFaults(const Json& faults) {
  if (faults.contains("outage")) {
    ApplyOutage(faults["outage"]);
  }
  if (faults.contains("cut_hosts")) {
    m_cut_hosts = faults["cut_hosts"].get<std::set<std::string>>();
    ScheduleDelivery();
  }
  if (faults.contains("watch_delay_ms")) {
    m_watch_delay = milliseconds(faults["watch_delay_ms"].get<std::int64_t>());
  }
  if (faults.contains("drop_watch_events")) {
    m_events_to_drop = faults["drop_watch_events"].get<std::int64_t>();
  }
}

void PlatformStandIn::ApplyOutage(const Json& value) {
  if (value == "hang") {
    m_outage = Outage::kHang;
  } else if (value == "close" || value == true) {
    m_outage = Outage::kClose;
    // Destroying a call closes its connection.
    m_watches.clear();
    m_unanswered.clear();
  } else {
    m_outage = Outage::kNone;
    ScheduleDelivery();
  }
}

void PlatformStandIn::Count(const std::string& host, CallKind kind) {
  ++m_calls_by_kind[ToString(kind)];
  ++m_calls_by_host[host][ToString(kind)];
}

void PlatformStandIn::HoldUnanswered(const CallPtr& call) {
  m_unanswered.insert(call);
  call->OnClosed(
      [this, weak = std::weak_ptr(call)] { m_unanswered.erase(weak.lock()); });
}

void PlatformStandIn::HandleUnary(const CallPtr& call, const Json& body) {
  const Revision before = m_store.revision();
  int status = kOk;
  Json answer;
  try {
    answer = CallGateway(m_store, call->path(), body, loop().Now());
  } catch (const Error& error) {
    const bool missing = error.code() == ErrorCode::kNotFound;
    status = missing ? kNotFound : kBadRequest;
    answer = {{"error", error.what()},
              {"code", missing ? kRpcNotFound : kRpcInvalidArgument},
              {"message", error.what()}};
  }
  if (m_store.revision() != before) {
    ScheduleDelivery();
  }
  if (IsWrite(KindOf(call->path(), body)) && ConsumeDroppedReply()) {
    call->Drop();
    return;
  }
  call->Send(status, answer);
}

void PlatformStandIn::StartWatch(const CallPtr& call,
                                 const std::string& host,
                                 const Json& body) {
  const Json request =
      body.is_object() ? keyvalue::EtcdMember(body, "create_request") : Json();
  if (!request.is_object()) {
    call->Send(kBadRequest, {{"error", "create_request is missing"}});
    return;
  }
  const Revision start = keyvalue::EtcdInteger(request, "start_revision");
  m_watches.push_back(
      {.m_call = call,
       .m_host = host,
       .m_range_start = keyvalue::EtcdBytes(request, "key"),
       .m_range_end = keyvalue::EtcdRangeEnd(request),
       .m_sent_revision = start > 0 ? start - 1 : m_store.revision()});
  m_most_watches = std::max(m_most_watches, m_watches.size());
  const auto position = std::prev(m_watches.end());
  call->OnClosed([this, position] { m_watches.erase(position); });
  call->StartStream("application/json");
  SendLine(*call, {{"header", GatewayHeader(m_store)}, {"created", true}});
  ScheduleDelivery();
}

void PlatformStandIn::ScheduleDelivery() {
  if (m_watch_delay == Duration::zero()) {
    DeliverAll();
    return;
  }
  if (m_delivery_timer) {
    return;
  }
  m_delivery_timer = loop().After(m_watch_delay, [this] {
    m_delivery_timer.reset();
    DeliverAll();
  });
}

void PlatformStandIn::DeliverAll() {
  for (auto at = m_watches.begin(); at != m_watches.end();) {
    // Delivering may end the watch.
    const auto next = std::next(at);
    Deliver(*at);
    if (at->m_call->finished()) {
      m_watches.erase(at);
    }
    at = next;
  }
}

void PlatformStandIn::Deliver(WaitingWatch& watch) {
  if (m_outage != Outage::kNone || m_cut_hosts.contains(watch.m_host)) {
    return;
  }
  if (watch.m_sent_revision < m_store.history_start()) {
    SendLine(*watch.m_call,
             {{"header", GatewayHeader(m_store)},
              {"canceled", true},
              {"compact_revision", std::to_string(m_store.history_start())}});
    watch.m_call->EndStream();
    return;
  }
  Json events = Json::array();
  for (const auto& event : m_store.EventsAfter("", watch.m_sent_revision)) {
    if (!InRange(event.m_item.m_key, watch.m_range_start, watch.m_range_end)) {
      continue;
    }
    if (m_events_to_drop > 0) {
      --m_events_to_drop;
      continue;
    }
    events.push_back(keyvalue::ToEtcdJson(event));
  }
  watch.m_sent_revision = m_store.revision();
  if (!events.empty()) {
    SendLine(*watch.m_call,
             {{"header", GatewayHeader(m_store)}, {"events", events}});
  }
}

void PlatformStandIn::SendProgress() {
  for (const WaitingWatch& watch : m_watches) {
    const bool reachable =
        m_outage == Outage::kNone && !m_cut_hosts.contains(watch.m_host);
    if (reachable && watch.m_sent_revision == m_store.revision()) {
      SendLine(*watch.m_call, {{"header", GatewayHeader(m_store)}});
    }
  }
}

}  // namespace hickoryloft::standins
