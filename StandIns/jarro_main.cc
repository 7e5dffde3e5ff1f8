// loft-standin-jarro: stand-ins for the Jarro platform's store, model servers
// and plain services in one process, with a control interface for tests.

#include <memory>
#include <vector>

#include "StandIns/jarro_server.h"
#include "StandIns/program.h"

namespace {

using namespace hickoryloft;
using namespace hickoryloft::standins;
using Exchange = std::shared_ptr<http::ServerExchange>;

class Platform {
 public:
  explicit Platform(EventLoop& loop) : m_store(loop) {
    AddServer(loop, {.m_id = "engine-1",
                     .m_service = "llm",
                     .m_models = {"m1"},
                     .m_on_disk = {"m1", "m3"},
                     .m_is_engine = true});
    AddServer(loop, {.m_id = "engine-2",
                     .m_service = "llm",
                     .m_models = {"m2", "m4"},
                     .m_on_disk = {"m1", "m2", "m4"},
                     .m_is_engine = true});
    AddServer(loop, {.m_id = "ledger-1", .m_service = "ledger"});
    AddServer(loop, {.m_id = "ledger-2", .m_service = "ledger"});
  }

  void Handle(const Exchange& exchange) {
    const std::string& target = exchange->request().m_target;
    if (!target.starts_with("/control/")) {
      m_store.Handle(exchange);
      return;
    }
    nlohmann::json answer = nlohmann::json::object();
    if (target == "/control/config") {
      m_store.Put("op/config", exchange->request().m_body);
    } else if (target == "/control/foreign-entry") {
      m_store.Put("servers/foreign", exchange->request().m_body);
    } else if (target == "/control/working") {
      m_store.SetMode(JarroStore::Mode::kWorking);
    } else if (target == "/control/busy") {
      m_store.SetMode(JarroStore::Mode::kBusy);
    } else if (target == "/control/silent") {
      m_store.SetMode(JarroStore::Mode::kSilent);
    } else if (target == "/control/lose-writes") {
      m_store.SetMode(JarroStore::Mode::kLosesWrites);
    } else if (target == "/control/compact") {
      m_store.Compact();
    } else if (target == "/control/break-streams") {
      for (const auto& server : m_servers) {
        server->AbortStreamAfter(4);
      }
    } else if (target == "/control/slow-streams") {
      for (const auto& server : m_servers) {
        server->SetEventInterval(milliseconds(700));
      }
    } else if (target == "/control/crash-engine-1") {
      m_servers[0]->Crash();
    } else if (target == "/control/slow-answers") {
      for (const auto& server : m_servers) {
        server->SetResponseDelay(milliseconds(800));
      }
    } else if (target == "/control/leave-ledger-1") {
      m_servers[2]->AnnounceLeaving();
    } else if (target == "/control/limit-ledger-1") {
      m_servers[2]->NameLimit(1);
    } else if (target == "/control/limit-ledgers") {
      m_servers[2]->NameLimit(5);
      m_servers[3]->NameLimit(5);
    } else if (target == "/control/unlimit-ledger-1") {
      m_servers[2]->NameLimit(0);
    } else if (target == "/control/turn-away-ledger-1") {
      m_servers[2]->RejectRequests(seconds(3));
    } else if (target == "/control/babble") {
      for (const auto& server : m_servers) {
        server->SendEndlessBodies();
      }
    } else if (target == "/control/trickle") {
      for (const auto& server : m_servers) {
        server->TrickleStreams();
      }
    } else if (target == "/control/drain-ledger-1") {
      m_servers[2]->Register("draining");
    } else if (target == "/control/seen") {
      answer["servers"] = nlohmann::json::array();
      for (const auto& server : m_servers) {
        answer["servers"].push_back(server->Record());
      }
      answer["holder"] = m_store.ValueOf("hickoryloft/placement-holder");
    }
    exchange->Answer(200, {{"Content-Type", "application/json"}},
                     answer.dump());
  }

 private:
  void AddServer(EventLoop& loop, JarroServerSettings settings) {
    m_servers.push_back(
        std::make_unique<JarroServer>(loop, m_store, std::move(settings)));
  }

  JarroStore m_store;
  std::vector<std::unique_ptr<JarroServer>> m_servers;
};

}  // namespace

int main(int argc, char** argv) {
  Program program("Stand-in for the Jarro platform");
  if (!program.Parse(argc, argv)) {
    return program.status();
  }
  const ListenAddress listen = program.listen();
  Platform platform(program.loop());
  const http::Server server(
      program.loop(), listen.m_address, listen.m_port,
      [&](const Exchange& exchange) { platform.Handle(exchange); });
  return program.Run(listen.m_address, server.port());
}
