// loft-standin-jarro: stand-ins for the Jarro platform's store, model servers
// and plain services in one process, with a control interface for tests.

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
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
    const std::string command = target.substr(sizeof("/control/") - 1);
    if (command == "seen") {
      answer["servers"] = nlohmann::json::array();
      for (const auto& server : m_servers) {
        answer["servers"].push_back(server->Record());
      }
      answer["holder"] = m_store.ValueOf("hickoryloft/placement-holder");
    }
    for (const Commands* commands : {&StoreCommands(), &ServerCommands()}) {
      if (const auto known = commands->find(command);
          known != commands->end()) {
        known->second(*this, exchange->request().m_body.text());
      }
    }
    exchange->Answer(200, {{"Content-Type", "application/json"}},
                     answer.dump());
  }

 private:
  using Command = std::function<void(Platform&, const std::string& body)>;

  using Commands = std::map<std::string, Command>;

  // The commands of tests to the store and to the servers; each is a path below
  // /control/.
  static const Commands& StoreCommands() {
    using Mode = JarroStore::Mode;
    static const Commands kCommands = {
        {"config",
         [](auto& self, const auto& body) {
           self.m_store.Put("op/config", body);
         }},
        {"foreign-entry",
         [](auto& self, const auto& body) {
           self.m_store.Put("servers/foreign", body);
         }},
        {"entry",
         [](auto& self, const auto& body) {
           const auto entry = nlohmann::json::parse(body);
           self.m_store.Put("servers/" + entry.value("id", ""),
                            entry["value"].dump());
         }},
        {"raw",
         [](auto& self, const auto& body) {
           const auto item = nlohmann::json::parse(body);
           self.m_store.Put(item.value("key", ""), item.value("value", ""));
         }},
        {"remove",
         [](auto& self, const auto& body) {
           self.m_store.Remove(nlohmann::json::parse(body).value("key", ""));
         }},
        {"remove-entry",
         [](auto& self, const auto& body) {
           self.m_store.Remove("servers/" +
                               nlohmann::json::parse(body).value("id", ""));
         }},
        {"working", StoreMode(Mode::kWorking)},
        {"busy", StoreMode(Mode::kBusy)},
        {"silent", StoreMode(Mode::kSilent)},
        {"lose-writes", StoreMode(Mode::kLosesWrites)},
        {"restore",
         [](auto& self, const auto& body) {
           self.m_store.Restore(
               milliseconds(nlohmann::json::parse(body).value("lost_ms", 0)));
         }},
        {"page-items",
         [](auto& self, const auto& body) {
           self.m_store.SetPageItems(nlohmann::json::parse(body)
                                         .at("items")
                                         .template get<std::size_t>());
         }},
        {"compact", [](auto& self, const auto&) { self.m_store.Compact(); }}};
    return kCommands;
  }
  static const Commands& ServerCommands() {
    static const Commands kCommands = {
        {"break-streams", ForAll([](auto& s) { s.AbortStreamAfter(4); })},
        {"slow-streams",
         ForAll([](auto& s) { s.SetEventInterval(milliseconds(700)); })},
        {"slow-answers",
         ForAll([](auto& s) { s.SetResponseDelay(milliseconds(800)); })},
        {"babble", ForAll([](auto& s) { s.SendEndlessBodies(); })},
        {"trickle", ForAll([](auto& s) { s.TrickleStreams(); })},
        {"crash-engine-1", For({0}, [](auto& s) { s.Crash(); })},
        {"move-second-servers", For({1, 3}, [](auto& s) { s.MoveTo("z0"); })},
        {"cold-ledgers", For({2, 3}, [](auto& s) { s.TurnCold(seconds(5)); })},
        {"leave-ledger-1", For({2}, [](auto& s) { s.AnnounceLeaving(); })},
        {"limit-ledger-1", For({2}, [](auto& s) { s.NameLimit(1); })},
        {"limit-ledgers", For({2, 3}, [](auto& s) { s.NameLimit(5); })},
        {"unlimit-ledger-1", For({2}, [](auto& s) { s.NameLimit(0); })},
        {"turn-away-ledger-1",
         For({2}, [](auto& s) { s.RejectRequests(seconds(3)); })},
        {"drain-ledger-1", For({2}, [](auto& s) { s.Register("draining"); })}};
    return kCommands;
  }
  static Command StoreMode(JarroStore::Mode mode) {
    return [mode](Platform& self, const std::string&) {
      self.m_store.SetMode(mode);
    };
  }
  // Return commands for the servers with the given indices, and for all.
  static Command For(std::vector<std::size_t> servers,
                     std::function<void(JarroServer&)> action) {
    return [servers = std::move(servers), action = std::move(action)](
               Platform& self, const std::string&) {
      for (const std::size_t server : servers) {
        action(*self.m_servers[server]);
      }
    };
  }
  static Command ForAll(std::function<void(JarroServer&)> action) {
    return For({0, 1, 2, 3}, std::move(action));
  }

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
