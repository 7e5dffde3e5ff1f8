#include "StandIns/jarro_store.h"

#include <event2/http.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "keyvalue/base64.h"

namespace hickoryloft::standins {

namespace {

using nlohmann::json;

std::map<std::string, std::string> ParseQuery(const std::string& target) {
  std::map<std::string, std::string> query;
  std::size_t at = target.find('?');
  while (at != std::string::npos) {
    const std::size_t end = target.find('&', at + 1);
    const std::string pair = target.substr(at + 1, end - at - 1);
    const std::size_t equals = pair.find('=');
    if (equals != std::string::npos) {
      char* value = evhttp_decode_uri(pair.substr(equals + 1).c_str());
      query[pair.substr(0, equals)] = value;
      std::free(value);
    }
    at = end;
  }
  return query;
}

std::int64_t QueryNumber(const std::map<std::string, std::string>& query,
                         const char* name) {
  const auto found = query.find(name);
  return found == query.end() ? 0 : std::atoll(found->second.c_str());
}

}  // namespace

JarroStore::JarroStore(EventLoop& loop) : m_loop(loop) {
  KeepCopy();
}

void JarroStore::Answer(const Exchange& exchange,
                        int status,
                        const json& body) {
  exchange->Answer(status,
                   {{"Content-Type", "application/json"},
                    {"Store-Era", std::to_string(m_era)}},
                   body.dump());
}

void JarroStore::Handle(const Exchange& exchange) {
  const http::ServerRequest& request = exchange->request();
  if (m_mode == Mode::kBusy) {
    Answer(exchange, 503, json::object());
    return;
  }
  if (m_mode == Mode::kSilent) {
    m_unanswered.push_back(exchange);
    return;
  }
  const std::string path =
      request.m_target.substr(0, request.m_target.find('?'));
  const Query query = ParseQuery(request.m_target);
  const std::string renew_prefix = "/-/kv-keep/";
  const std::string end_prefix = "/-/kv-lease-end/";
  if (path == "/-/kv-key") {
    ReadKey(exchange, query);
  } else if (path == "/-/kv-range") {
    ReadRange(exchange, query);
  } else if (path == "/-/kv-watch") {
    Watch(exchange, query);
  } else if (path == "/-/kv-txn") {
    Transact(exchange);
  } else if (path == "/-/kv-lease") {
    GrantLease(exchange);
  } else if (path.starts_with(renew_prefix)) {
    RenewLease(exchange, std::atoll(path.substr(renew_prefix.size()).c_str()));
  } else if (path.starts_with(end_prefix)) {
    EndLease(std::atoll(path.substr(end_prefix.size()).c_str()));
    Answer(exchange, 200, json::object());
  } else {
    Answer(exchange, 400, json::object());
  }
}

json JarroStore::ToJson(const std::string& key, const Item& item) const {
  return {{"key", key},
          {"value", keyvalue::EncodeBase64(item.m_value)},
          {"revision", item.m_revision},
          {"created", item.m_create_revision},
          {"lease", item.m_lease}};
}

void JarroStore::ReadKey(const Exchange& exchange, const Query& query) {
  const auto found = m_items.find(query.count("key") ? query.at("key") : "");
  if (found == m_items.end()) {
    Answer(exchange, 404, json::object());
    return;
  }
  json item = ToJson(found->first, found->second);
  item["asOf"] = m_revision;
  Answer(exchange, 200, item);
}

void JarroStore::ReadRange(const Exchange& exchange, const Query& query) {
  const auto prefix = query.find("pathPrefix");
  const auto after = query.find("after");
  json items = json::array();
  bool more = false;
  for (const auto& [key, item] : m_items) {
    if ((prefix != query.end() && !key.starts_with(prefix->second)) ||
        (after != query.end() && key <= after->second)) {
      continue;
    }
    if (items.size() == m_page_items) {
      more = true;
      break;
    }
    items.push_back(ToJson(key, item));
  }
  Answer(exchange, 200,
         {{"items", items}, {"hasMore", more}, {"asOf", m_revision}});
}

void JarroStore::Watch(const Exchange& exchange, const Query& query) {
  WaitingWatch watch{
      .m_exchange = exchange,
      .m_prefix = query.count("pathPrefix") ? query.at("pathPrefix") : "",
      .m_after_revision = QueryNumber(query, "after")};
  if (watch.m_after_revision < m_compacted_revision ||
      watch.m_after_revision > m_revision) {
    Answer(exchange, 410, json::object());
    return;
  }
  if (AnswerWatch(watch, /*even_if_empty=*/false)) {
    return;
  }
  m_waiting_watches.push_back(std::move(watch));
  const auto position = std::prev(m_waiting_watches.end());
  position->m_timer = m_loop.After(
      milliseconds(QueryNumber(query, "waitMs")), [this, position] {
        AnswerWatch(*position, /*even_if_empty=*/true);
        // The timer must outlive its callback, but an answered watch must not
        // be found by a change in the meantime.
        m_loop.Post(
            [timer = std::shared_ptr<Timer>(std::move(position->m_timer))] {});
        m_waiting_watches.erase(position);
      });
}

bool JarroStore::AnswerWatch(const WaitingWatch& watch, bool even_if_empty) {
  json events = json::array();
  for (const json& event : m_history) {
    if (event["revision"].get<std::int64_t>() > watch.m_after_revision &&
        event["key"].get<std::string>().starts_with(watch.m_prefix)) {
      events.push_back(event);
    }
  }
  if (events.empty() && !even_if_empty) {
    return false;
  }
  Answer(watch.m_exchange, 200, {{"events", events}, {"asOf", m_revision}});
  return true;
}

void JarroStore::AnswerWatches() {
  for (auto watch = m_waiting_watches.begin();
       watch != m_waiting_watches.end();) {
    const auto position = watch++;
    if (AnswerWatch(*position, /*even_if_empty=*/false)) {
      m_waiting_watches.erase(position);
    }
  }
}

void JarroStore::Write(const std::string& key, Item item) {
  item.m_revision = ++m_revision;
  const auto existing = m_items.find(key);
  item.m_create_revision = existing == m_items.end()
                               ? m_revision
                               : existing->second.m_create_revision;
  m_items[key] = item;
  m_history.push_back(ToJson(key, item));
  KeepCopy();
}

void JarroStore::KeepCopy() {
  constexpr std::size_t kMaxCopies = 2000;
  Copy copy{.m_at = m_loop.Now(),
            .m_revision = m_revision,
            .m_next_lease_id = m_next_lease_id,
            .m_items = m_items};
  for (const auto& [id, lease] : m_leases) {
    copy.m_leases[id] = lease.m_ttl;
  }
  m_copies.push_back(std::move(copy));
  if (m_copies.size() > kMaxCopies) {
    m_copies.pop_front();
  }
}

void JarroStore::Restore(Duration lost) {
  const MonotonicTime at = m_loop.Now() - lost;
  while (m_copies.size() > 1 && m_copies.back().m_at > at) {
    m_copies.pop_back();
  }
  const Copy& copy = m_copies.back();
  m_items = copy.m_items;
  m_revision = copy.m_revision;
  m_next_lease_id = copy.m_next_lease_id;
  m_leases.clear();
  for (const auto& [id, ttl] : copy.m_leases) {
    AddLease(id, ttl);
  }
  std::erase_if(m_history, [&](const json& event) {
    return event["revision"].get<std::int64_t>() > m_revision;
  });
  ++m_era;
  for (const WaitingWatch& watch : std::exchange(m_waiting_watches, {})) {
    watch.m_exchange->Abort();
  }
}

void JarroStore::Put(const std::string& key, const std::string& value) {
  Write(key, {.m_value = value});
  AnswerWatches();
}

void JarroStore::Remove(const std::string& key) {
  if (m_items.erase(key) > 0) {
    m_history.push_back(
        {{"key", key}, {"revision", ++m_revision}, {"removed", true}});
    KeepCopy();
    AnswerWatches();
  }
}

std::string JarroStore::ValueOf(const std::string& key) const {
  const auto found = m_items.find(key);
  return found == m_items.end() ? "" : found->second.m_value;
}

void JarroStore::Transact(const Exchange& exchange) {
  const json body = json::parse(exchange->request().m_body.text(), nullptr,
                                /*allow_exceptions=*/false);
  json current = json::array();
  bool all_match = true;
  for (const json& row : body["expected"]) {
    const auto found = m_items.find(row["key"].get<std::string>());
    const std::int64_t revision =
        found == m_items.end() ? 0 : found->second.m_revision;
    all_match = all_match && revision == row["revision"].get<std::int64_t>();
    current.push_back(found == m_items.end()
                          ? json{{"key", row["key"]}, {"revision", 0}}
                          : ToJson(found->first, found->second));
  }
  if (!all_match) {
    Answer(exchange, 412, {{"items", current}});
    return;
  }
  for (const json& put : body["puts"]) {
    const auto lease = put.value("lease", std::int64_t{0});
    if (lease != 0 && !m_leases.contains(lease)) {
      Answer(exchange, 404, json::object());
      return;
    }
  }
  for (const json& put : body["puts"]) {
    Write(put["key"].get<std::string>(),
          {.m_value = keyvalue::DecodeBase64(put["value"].get<std::string>()),
           .m_lease = put.value("lease", std::int64_t{0})});
  }
  for (const json& key : body["delete"]) {
    Remove(key.get<std::string>());
  }
  if (m_mode == Mode::kLosesWrites) {
    m_unanswered.push_back(exchange);
  } else {
    Answer(exchange, 200, {{"revision", m_revision}});
  }
  AnswerWatches();
}

void JarroStore::GrantLease(const Exchange& exchange) {
  const json body = json::parse(exchange->request().m_body.text(), nullptr,
                                /*allow_exceptions=*/false);
  const std::int64_t id = m_next_lease_id++;
  const Duration ttl = milliseconds(body.value("ttlMs", 1000));
  AddLease(id, ttl);
  KeepCopy();
  Answer(exchange, 200, {{"lease", id}, {"ttlMs", ToMillis(ttl).count()}});
}

void JarroStore::AddLease(std::int64_t id, Duration ttl) {
  m_leases[id] = {.m_ttl = ttl,
                  .m_expiry = m_loop.After(ttl, [this, id] { EndLease(id); })};
}

void JarroStore::RenewLease(const Exchange& exchange, std::int64_t id) {
  const auto lease = m_leases.find(id);
  if (lease == m_leases.end()) {
    Answer(exchange, 404, json::object());
    return;
  }
  lease->second.m_expiry =
      m_loop.After(lease->second.m_ttl, [this, id] { EndLease(id); });
  Answer(exchange, 200, {{"ttlMs", ToMillis(lease->second.m_ttl).count()}});
}

void JarroStore::EndLease(std::int64_t id) {
  std::vector<std::string> keys;
  for (const auto& [key, item] : m_items) {
    if (item.m_lease == id) {
      keys.push_back(key);
    }
  }
  m_loop.Post([this, id] { m_leases.erase(id); });
  for (const std::string& key : keys) {
    Remove(key);
  }
}

}  // namespace hickoryloft::standins
