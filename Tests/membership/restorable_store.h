#ifndef TESTS_MEMBERSHIP_RESTORABLE_STORE_H_
#define TESTS_MEMBERSHIP_RESTORABLE_STORE_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "base/event_loop.h"
#include "base/history.h"
#include "keyvalue/key_value_service.h"

namespace hickoryloft::membership {

// A store that can come back from an older copy. Its revisions and lease ids
// are bare numbers. Leases end only by EndLease().
class RestorableStore {
 public:
  struct Item {
    std::string m_value;
    std::int64_t m_revision = 0;
    std::int64_t m_created = 0;
    std::int64_t m_lease = 0;
  };
  struct Data {
    std::map<std::string, Item> m_items;
    std::set<std::int64_t> m_leases;
    std::int64_t m_revision = 0;
    std::int64_t m_last_lease = 0;
  };

  void Write(const std::string& key, const std::string& value) {
    Write(key, value, 0);
  }
  void Write(const std::string& key,
             const std::string& value,
             std::int64_t lease) {
    Item& item = m_data.m_items[key];
    item.m_revision = ++m_data.m_revision;
    item.m_created = item.m_created == 0 ? item.m_revision : item.m_created;
    item.m_value = value;
    item.m_lease = lease;
  }
  void EndLease(std::int64_t lease) {
    m_data.m_leases.erase(lease);
    m_data.m_revision += std::erase_if(m_data.m_items, [&](const auto& entry) {
                           return lease != 0 && entry.second.m_lease == lease;
                         }) > 0;
  }
  void KeepCopy() { m_copy = m_data; }
  // Loses what happened since KeepCopy().
  void Restore() {
    m_data = m_copy;
    ++m_era;
  }
  bool Has(const std::string& key) const {
    return m_data.m_items.contains(key);
  }
  const Item& At(const std::string& key) const {
    return m_data.m_items.at(key);
  }

  Data m_data;
  Data m_copy;
  Era m_era = 0;
};

// One host's calls to the store. Like the platform's adapter, it learns the
// era from answers only, and sends no call that names a revision or lease of an
// era that it knows to have ended.
class StoreSession : public keyvalue::KeyValueService {
 public:
  StoreSession(EventLoop& loop, RestorableStore& store)
      : m_loop(loop), m_store(store) {}

  void SetRestoredHandler(const std::function<void(Era)>& handler) override {
    m_restored = handler;
  }
  // Whether calls and answers are lost.
  bool m_cut = false;

  // Learns the store's era, as from a watch's answer.
  void Hear() { RecordEra(m_store.m_era); }

  void Get(const std::string& key,
           Callback<keyvalue::ReadReply> callback) override {
    keyvalue::ReadReply reply{
        .m_revision = InEra(m_store.m_era, m_store.m_data.m_revision)};
    if (m_store.Has(key)) {
      reply.m_items.push_back(ItemOf(key));
    }
    Answer<keyvalue::ReadReply>({}, reply, std::move(callback));
  }
  void GetPrefix(const std::string&, Callback<keyvalue::ReadReply>) override {}
  void Swap(keyvalue::CompareAndSwap operation,
            Callback<keyvalue::SwapReply> callback) override {
    const Revision expected = operation.m_expected_revision;
    const Named named{.m_revision = expected, .m_lease = operation.m_lease};
    if (Refuse(named, callback)) {
      return;
    }
    const std::int64_t lease = LeaseNumber(operation.m_lease);
    if (!m_store.m_data.m_leases.contains(lease)) {
      Answer<keyvalue::SwapReply>(
          named, Error(ErrorCode::kNotFound, "the lease has ended"),
          std::move(callback));
      return;
    }
    const bool has = m_store.Has(operation.m_key);
    const std::int64_t revision =
        has ? m_store.At(operation.m_key).m_revision : 0;
    keyvalue::SwapReply reply{.m_swapped = revision == NumberIn(expected)};
    if (reply.m_swapped) {
      m_store.Write(operation.m_key, *operation.m_value, lease);
      reply.m_revision = InEra(m_store.m_era, m_store.m_data.m_revision);
    } else if (has) {
      reply.m_current = ItemOf(operation.m_key);
    }
    Answer<keyvalue::SwapReply>(named, reply, std::move(callback));
  }
  void GrantLease(Duration ttl,
                  Callback<keyvalue::LeaseReply> callback) override {
    const std::int64_t lease = ++m_store.m_data.m_last_lease;
    m_store.m_data.m_leases.insert(lease);
    Answer<keyvalue::LeaseReply>(
        {},
        keyvalue::LeaseReply{.m_lease = LeaseInEra(m_store.m_era, lease),
                             .m_ttl = ttl},
        std::move(callback));
  }
  void KeepAlive(keyvalue::LeaseId lease,
                 Callback<keyvalue::LeaseReply> callback) override {
    if (Refuse({.m_lease = lease}, callback)) {
      return;
    }
    if (!IsLeaseOf(m_store.m_era, lease) ||
        !m_store.m_data.m_leases.contains(LeaseNumber(lease))) {
      Answer<keyvalue::LeaseReply>(
          {}, Error(ErrorCode::kNotFound, "the lease has ended"),
          std::move(callback));
      return;
    }
    Answer<keyvalue::LeaseReply>({}, keyvalue::LeaseReply{.m_lease = lease},
                                 std::move(callback));
  }
  void RevokeLease(keyvalue::LeaseId lease, Callback<Done> callback) override {
    if (!m_cut && !Refuse({.m_lease = lease}, callback)) {
      m_store.EndLease(LeaseNumber(lease));
      Answer<Done>({}, Done{}, std::move(callback));
    }
  }
  std::unique_ptr<keyvalue::Watch> WatchPrefix(
      const std::string&,
      Revision,
      std::function<void(keyvalue::WatchBatch)>,
      std::function<void(Error)>) override {
    return nullptr;
  }

 private:
  // What a call names of an era; 0: nothing.
  struct Named {
    Revision m_revision = 0;
    keyvalue::LeaseId m_lease = 0;

    bool IsOf(Era era) const {
      return (m_revision == 0 || EraOf(m_revision) == era) &&
             (m_lease == 0 || IsLeaseOf(era, m_lease));
    }
  };

  keyvalue::KeyValue ItemOf(const std::string& key) const {
    const RestorableStore::Item& item = m_store.At(key);
    const Era era = m_store.m_era;
    return {.m_key = key,
            .m_value = item.m_value,
            .m_create_revision = InEra(era, item.m_created),
            .m_mod_revision = InEra(era, item.m_revision),
            .m_lease = LeaseInEra(era, item.m_lease)};
  }
  void RecordEra(Era era) {
    if (m_era && era > *m_era && m_restored) {
      m_restored_timer =
          m_loop.After(Duration{}, [this] { m_restored(*m_era); });
    }
    m_era = std::max(m_era.value_or(0), era);
  }
  template <typename T>
  bool Refuse(const Named& named, const Callback<T>& callback) {
    if (!m_era || named.IsOf(*m_era)) {
      return false;
    }
    m_loop.Post([callback] {
      callback(Error(ErrorCode::kNotFound, "from before the restore"));
    });
    return true;
  }
  // Delivers an answer that the store gives now.
  template <typename T>
  void Answer(const Named& named, Result<T> result, Callback<T> callback) {
    if (m_cut) {
      return;
    }
    m_answers.push_back(m_loop.After(
        kTransit, [this, named, era = m_store.m_era, result = std::move(result),
                   callback = std::move(callback)] {
          RecordEra(era);
          const bool not_found =
              !result.ok() && result.error().code() == ErrorCode::kNotFound;
          const bool other = !named.IsOf(era) && !not_found;
          callback(era != m_era || other
                       ? Error(ErrorCode::kOutcomeUnknown, "of another era")
                       : result);
        }));
  }

  // Time from the store's answer to its arrival.
  static constexpr Duration kTransit = milliseconds(3);

  EventLoop& m_loop;
  RestorableStore& m_store;
  std::optional<Era> m_era;
  std::function<void(Era)> m_restored;
  std::unique_ptr<Timer> m_restored_timer;
  std::list<std::unique_ptr<Timer>> m_answers;
};

}  // namespace hickoryloft::membership

#endif  // TESTS_MEMBERSHIP_RESTORABLE_STORE_H_
