#ifndef TESTS_FLEET_MANUAL_KEY_VALUE_SERVICE_H_
#define TESTS_FLEET_MANUAL_KEY_VALUE_SERVICE_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/history.h"
#include "keyvalue/key_value_service.h"

namespace hickoryloft::fleet {

// A key-value service that keeps its history and delivers changes on request.
class ManualKeyValueService : public keyvalue::KeyValueService {
 public:
  using History = std::vector<keyvalue::WatchEvent>;

  class ManualWatch : public keyvalue::Watch {
   public:
    explicit ManualWatch(ManualKeyValueService& service) : m_service(service) {}
    void SetPollWait(Duration wait) override { m_service.m_poll_wait = wait; }
    void Pause(Revision /*known*/) override { m_service.m_paused = true; }
    void Resume(Revision /*known*/) override { m_service.m_paused = false; }

   private:
    ManualKeyValueService& m_service;
  };

  void Put(const std::string& key, const std::string& value) {
    m_history.push_back(
        {.m_item = {
             .m_key = key, .m_value = value, .m_mod_revision = ++m_revision}});
  }
  void Delete(const std::string& key) {
    m_history.push_back(
        {.m_deleted = true,
         .m_item = {.m_key = key, .m_mod_revision = ++m_revision}});
  }
  // Comes back from a copy without the last `lost` changes, in a new era.
  // Precondition: lost < m_history.size(); each change has its own revision.
  void Restore(std::size_t lost) {
    m_ended_eras.push_back(m_history);
    m_history.resize(m_history.size() - lost);
    const Era era = static_cast<Era>(m_ended_eras.size());
    for (keyvalue::WatchEvent& event : m_history) {
      event.m_item.m_mod_revision =
          InEra(era, NumberIn(event.m_item.m_mod_revision));
    }
    m_revision = m_history.back().m_item.m_mod_revision;
  }
  keyvalue::WatchBatch After(Revision known, MonotonicTime as_of) const {
    keyvalue::WatchBatch batch{.m_revision = m_revision,
                               .m_current_as_of = as_of};
    for (const keyvalue::WatchEvent& event : m_history) {
      if (event.m_item.m_mod_revision > known) {
        batch.m_events.push_back(event);
      }
    }
    return batch;
  }
  // The state at `revision`, which may be of an era that has ended.
  std::map<std::string, std::string> StateAt(Revision revision) const {
    const auto era = static_cast<std::size_t>(EraOf(revision));
    std::map<std::string, std::string> state;
    for (const keyvalue::WatchEvent& event :
         era < m_ended_eras.size() ? m_ended_eras[era] : m_history) {
      if (event.m_item.m_mod_revision <= revision &&
          event.m_item.m_key != "config") {
        state.erase(event.m_item.m_key);
        if (!event.m_deleted) {
          state[event.m_item.m_key] = event.m_item.m_value;
        }
      }
    }
    return state;
  }

  void Get(const std::string&, Callback<keyvalue::ReadReply>) override {}
  void GetPrefix(const std::string&,
                 Callback<keyvalue::ReadReply> callback) override {
    const ManualKeyValueService& source = m_source ? *m_source : *this;
    keyvalue::ReadReply reply{.m_revision = source.m_revision,
                              .m_current_as_of = MonotonicClock::now()};
    for (const keyvalue::WatchEvent& event : source.m_history) {
      std::erase_if(reply.m_items, [&](const keyvalue::KeyValue& item) {
        return item.m_key == event.m_item.m_key;
      });
      if (!event.m_deleted) {
        reply.m_items.push_back(event.m_item);
      }
    }
    if (m_hold_reads) {
      m_held_read = [reply = std::move(reply), callback = std::move(callback)] {
        callback(reply);
      };
      return;
    }
    callback(std::move(reply));
  }
  // Delivers the reply of a read that was held, if there is one.
  void DeliverHeldRead() {
    if (const auto read = std::exchange(m_held_read, nullptr)) {
      read();
    }
  }
  void Swap(keyvalue::CompareAndSwap, Callback<keyvalue::SwapReply>) override {}
  void GrantLease(Duration, Callback<keyvalue::LeaseReply>) override {}
  void KeepAlive(keyvalue::LeaseId, Callback<keyvalue::LeaseReply>) override {}
  void RevokeLease(keyvalue::LeaseId, Callback<Done>) override {}
  std::unique_ptr<keyvalue::Watch> WatchPrefix(
      const std::string&,
      Revision,
      std::function<void(keyvalue::WatchBatch)> changed,
      std::function<void(Error)> ended) override {
    m_changed = std::move(changed);
    m_ended = std::move(ended);
    m_paused = false;
    ++m_watches;
    return std::make_unique<ManualWatch>(*this);
  }

  // Reads are answered from this service; null: from this one's own history.
  const ManualKeyValueService* m_source = nullptr;
  History m_history;
  // The histories of the eras before, with the changes that were lost.
  std::vector<History> m_ended_eras;
  Revision m_revision = 0;
  bool m_hold_reads = false;
  std::function<void()> m_held_read;
  std::function<void(keyvalue::WatchBatch)> m_changed;
  std::function<void(Error)> m_ended;
  int m_watches = 0;
  bool m_paused = false;
  Duration m_poll_wait{};
};

}  // namespace hickoryloft::fleet

#endif  // TESTS_FLEET_MANUAL_KEY_VALUE_SERVICE_H_
