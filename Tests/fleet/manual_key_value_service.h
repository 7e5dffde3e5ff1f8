#ifndef TESTS_FLEET_MANUAL_KEY_VALUE_SERVICE_H_
#define TESTS_FLEET_MANUAL_KEY_VALUE_SERVICE_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "keyvalue/key_value_service.h"

namespace hickoryloft::fleet {

// A key-value service that keeps its history and delivers changes on request.
class ManualKeyValueService : public keyvalue::KeyValueService {
 public:
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
  std::map<std::string, std::string> StateAt(Revision revision) const {
    std::map<std::string, std::string> state;
    for (const keyvalue::WatchEvent& event : m_history) {
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
    keyvalue::ReadReply reply{.m_revision = m_revision,
                              .m_current_as_of = MonotonicClock::now()};
    for (const keyvalue::WatchEvent& event : m_history) {
      std::erase_if(reply.m_items, [&](const keyvalue::KeyValue& item) {
        return item.m_key == event.m_item.m_key;
      });
      if (!event.m_deleted) {
        reply.m_items.push_back(event.m_item);
      }
    }
    callback(std::move(reply));
  }
  void Swap(keyvalue::CompareAndSwap, Callback<keyvalue::SwapReply>) override {}
  void GrantLease(Duration, Callback<keyvalue::LeaseReply>) override {}
  void KeepAlive(keyvalue::LeaseId, Callback<keyvalue::LeaseReply>) override {}
  void RevokeLease(keyvalue::LeaseId, Callback<Done>) override {}
  std::unique_ptr<keyvalue::Watch> WatchPrefix(
      const std::string&,
      Revision,
      std::function<void(keyvalue::WatchBatch)> changed,
      std::function<void(Error)>) override {
    m_changed = std::move(changed);
    return std::make_unique<ManualWatch>(*this);
  }

  std::vector<keyvalue::WatchEvent> m_history;
  Revision m_revision = 0;
  std::function<void(keyvalue::WatchBatch)> m_changed;
  bool m_paused = false;
  Duration m_poll_wait{};
};

}  // namespace hickoryloft::fleet

#endif  // TESTS_FLEET_MANUAL_KEY_VALUE_SERVICE_H_
