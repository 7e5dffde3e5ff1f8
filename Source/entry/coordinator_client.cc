#include "entry/coordinator_client.h"

#include "base/log.h"
#include "base/random.h"

namespace hickoryloft::entry {

namespace {

const Logger kLog("coordinator-link");

wire::HelloT MakeHello(const EntrySettings& settings) {
  wire::HelloT hello;
  hello.protocol_version = wire::kProtocolVersion;
  hello.role = wire::Role::Entry;
  hello.host = settings.m_host.value();
  hello.incarnation = RandomBits();
  hello.failure_domain = settings.m_failure_domain.value();
  return hello;
}

}  // namespace

CoordinatorClient::CoordinatorClient(EventLoop& loop,
                                     const EntrySettings& settings,
                                     Events events)
    : m_loop(loop),
      m_target(settings.m_coordinator),
      m_hello(MakeHello(settings)),
      m_events(std::move(events)) {}

void CoordinatorClient::Start() {
  Connect();
}

void CoordinatorClient::Connect() {
  m_connection = wire::Connection::Connect(
      m_loop, m_target.m_address, m_target.m_port,
      {.m_connected = [this] { OnConnected(); },
       .m_message =
           [this](wire::EnvelopeT notice) {
             m_events.m_notice(std::move(notice));
           },
       .m_closed = [this](const Error& error) { OnClosed(error); }});
}

void CoordinatorClient::OnConnected() {
  m_loss_logged = false;
  kLog.Info("Connected to the coordinator.");
  m_connection->Send(wire::MakeEnvelope(m_hello));
  m_events.m_connected();
}

void CoordinatorClient::OnClosed(const Error& error) {
  if (!m_loss_logged) {
    kLog.Warn(
        "Connecting to the coordinator failed or the connection was lost; "
        "reconnecting.",
        {{"error", error.what()}});
    m_loss_logged = true;
  }
  m_reconnect_timer = m_loop.After(kReconnectDelay, [this] { Connect(); });
}

void CoordinatorClient::Request(wire::EnvelopeT request,
                                Duration timeout,
                                wire::ReplyCallback callback) {
  if (!connected()) {
    callback(Error(ErrorCode::kUnavailable,
                   "the coordinator of this host cannot be reached"));
    return;
  }
  m_connection->Request(std::move(request), timeout, std::move(callback));
}

bool CoordinatorClient::connected() const {
  return m_connection && m_connection->connected();
}

}  // namespace hickoryloft::entry
