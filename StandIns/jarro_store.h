// Stand-in for the Jarro platform's metadata store.

#ifndef STANDINS_JARRO_STORE_H_
#define STANDINS_JARRO_STORE_H_

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "http/server.h"

namespace hickoryloft::standins {

// Serves keys, revisions, leases, watches and transactions as the platform's
// published interface describes them, with faults on demand. Use on the loop's
// thread only.
class JarroStore {
 public:
  // How requests from hosts are handled.
  enum class Mode {
    kWorking,
    kBusy,         // Requests have no effect and get status 503.
    kSilent,       // Requests have no effect and get no response.
    kLosesWrites,  // Transactions commit but get no response.
  };

  explicit JarroStore(EventLoop& loop);

  // Handles a request from a host.
  void Handle(const std::shared_ptr<http::ServerExchange>& exchange);

  // Write on behalf of the operator or a server, whatever the mode.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  void SetMode(Mode mode) { m_mode = mode; }
  // Discards the history: from now on a watch from an earlier revision gets
  // status 410.
  void Compact() { m_compacted_revision = m_revision; }
  // Replaces the data by a copy of the time `lost` ago, with its revision and
  // lease ids, and starts the next era. Waiting watches are cut.
  void Restore(Duration lost);
  // Sets how many items a page holds.
  void SetPageItems(std::size_t items) { m_page_items = items; }

  std::int64_t revision() const { return m_revision; }
  // Returns the value of `key`, or "" if there is none.
  std::string ValueOf(const std::string& key) const;

 private:
  struct Item {
    std::string m_value;
    std::int64_t m_revision = 0;
    std::int64_t m_create_revision = 0;
    std::int64_t m_lease = 0;
  };
  struct Lease {
    Duration m_ttl{};
    std::unique_ptr<Timer> m_expiry;
  };
  // The data after a change.
  struct Copy {
    MonotonicTime m_at;
    std::int64_t m_revision = 0;
    std::int64_t m_next_lease_id = 0;
    std::map<std::string, Item> m_items;
    std::map<std::int64_t, Duration> m_leases;
  };
  struct WaitingWatch {
    std::shared_ptr<http::ServerExchange> m_exchange;
    std::string m_prefix;
    std::int64_t m_after_revision = 0;
    std::unique_ptr<Timer> m_timer;
  };
  using Exchange = std::shared_ptr<http::ServerExchange>;
  using Query = std::map<std::string, std::string>;

  void ReadKey(const Exchange& exchange, const Query& query);
  void ReadRange(const Exchange& exchange, const Query& query);
  void Watch(const Exchange& exchange, const Query& query);
  void Transact(const Exchange& exchange);
  void GrantLease(const Exchange& exchange);
  void RenewLease(const Exchange& exchange, std::int64_t id);
  void EndLease(std::int64_t id);
  void AddLease(std::int64_t id, Duration ttl);
  void Write(const std::string& key, Item item);
  void KeepCopy();
  void AnswerWatches();
  bool AnswerWatch(const WaitingWatch& watch, bool even_if_empty);
  nlohmann::json ToJson(const std::string& key, const Item& item) const;
  void Answer(const Exchange& exchange, int status, const nlohmann::json& body);

  EventLoop& m_loop;
  Mode m_mode = Mode::kWorking;
  std::size_t m_page_items = 3;  // Small, so that tests cover paging.
  std::int64_t m_revision = 1;
  std::int64_t m_compacted_revision = 0;
  // As large as the ids of the platform's store.
  std::int64_t m_next_lease_id = (std::int64_t{1} << 48) + 100;
  std::int64_t m_era = 1;
  std::map<std::string, Item> m_items;
  std::map<std::int64_t, Lease> m_leases;
  std::vector<nlohmann::json> m_history;
  std::deque<Copy> m_copies;
  std::list<WaitingWatch> m_waiting_watches;
  // Exchanges that are never answered.
  std::vector<Exchange> m_unanswered;
};

}  // namespace hickoryloft::standins

#endif  // STANDINS_JARRO_STORE_H_
