#include "host/crash_records.h"

#include <algorithm>
#include <functional>
#include <nlohmann/json.hpp>
#include <string_view>

#include "base/log.h"

namespace hickoryloft::host {

namespace {

using nlohmann::json;

constexpr std::string_view kPrefix = "hickoryloft/crashing-parts/";
constexpr std::string_view kEndPrefix = "hickoryloft/crashing-parts/ends/";
constexpr std::string_view kHeldPrefix = "hickoryloft/crashing-parts/held/";
constexpr std::string_view kSoundPrefix = "hickoryloft/crashing-parts/sound/";
constexpr char kTrials[] = "trials";
constexpr std::size_t kMaxPartLength = 64;

const Logger kLog("prompts");

std::string Join(std::string_view prefix, const std::string& name) {
  return std::string(prefix) + name;
}

// Returns an empty object if `text` is no JSON object.
json ParseObject(const std::string& text) {
  json value = json::parse(text, nullptr, /*allow_exceptions=*/false);
  return value.is_object() ? value : json::object();
}

// Throws json::exception if a field is missing or of another type.
admission::EndpointEnd DecodeEnd(const keyvalue::KeyValue& item) {
  const json text = json::parse(item.m_value);
  const std::string host = item.m_key.substr(kEndPrefix.size());
  admission::EndpointEnd end{
      .m_incarnation = text.at("endpoint").get<std::string>(),
      .m_seen_by = HostId(host.substr(0, host.rfind('/'))),
      .m_at = milliseconds(text.at("at_ms").get<std::int64_t>()),
      .m_revision = item.m_mod_revision};
  for (const json& part : text.at("parts")) {
    if (end.m_parts.size() < kMaxPartsPerEnd) {
      end.m_parts.push_back({.m_id = part.at("id").get<std::string>(),
                             .m_depth = part.at("depth").get<int>()});
    }
  }
  return end;
}

void ForEachRecord(
    const std::map<std::string, keyvalue::KeyValue>& own_keys,
    std::string_view prefix,
    const std::function<void(const keyvalue::KeyValue&)>& visit) {
  for (auto it = own_keys.lower_bound(std::string(prefix));
       it != own_keys.end() && it->first.starts_with(prefix); ++it) {
    visit(it->second);
  }
}

}  // namespace

bool IsValidPart(const std::string& part) {
  return !part.empty() && part.size() <= kMaxPartLength &&
         std::all_of(part.begin(), part.end(), [](char letter) {
           return (letter >= 'a' && letter <= 'z') ||
                  (letter >= '0' && letter <= '9');
         });
}

std::string EndKey(const HostId& host, std::size_t slot) {
  return Join(kEndPrefix, host.value() + "/" + std::to_string(slot));
}

std::string SoundKey(const std::string& part) {
  return Join(kSoundPrefix, part);
}

std::string HeldKey(const std::string& part) {
  return Join(kHeldPrefix, part);
}

std::string EncodeEnd(const admission::EndpointEnd& end) {
  json parts = json::array();
  for (const admission::PartInUse& part : end.m_parts) {
    parts.push_back({{"id", part.m_id}, {"depth", part.m_depth}});
  }
  return json{{"endpoint", end.m_incarnation},
              {"at_ms", end.m_at.count()},
              {"parts", parts}}
      .dump();
}

std::string EncodeFinding(const admission::CrashingParts::Finding& finding) {
  json hosts = json::array();
  for (const HostId& host : finding.m_seen_by) {
    hosts.push_back(host.value());
  }
  return json{{"ends", finding.m_ends}, {"seen_by", hosts}}.dump();
}

std::size_t DecodeTrials(const keyvalue::KeyValue& held_record) {
  const json text = ParseObject(held_record.m_value);
  const auto trials = text.find(kTrials);
  return trials != text.end() && trials->is_number_unsigned()
             ? trials->get<std::size_t>()
             : 0;
}

std::string EncodeWithTrials(const keyvalue::KeyValue& held_record,
                             std::size_t trials) {
  json text = ParseObject(held_record.m_value);
  text[kTrials] = trials;
  return text.dump();
}

admission::CrashRecords DecodeCrashRecords(
    const std::map<std::string, keyvalue::KeyValue>& own_keys) {
  admission::CrashRecords records;
  ForEachRecord(own_keys, kEndPrefix, [&](const keyvalue::KeyValue& item) {
    try {
      records.m_ends.push_back(DecodeEnd(item));
    } catch (const json::exception& error) {
      kLog.Warn("cannot decode the record of an endpoint's end; ignoring it",
                {{"key", item.m_key}, {"reason", error.what()}});
    }
  });
  ForEachRecord(own_keys, kHeldPrefix, [&](const keyvalue::KeyValue& item) {
    records.m_held[item.m_key.substr(kHeldPrefix.size())] = item.m_mod_revision;
  });
  ForEachRecord(own_keys, kSoundPrefix, [&](const keyvalue::KeyValue& item) {
    records.m_sound[item.m_key.substr(kSoundPrefix.size())] =
        item.m_mod_revision;
  });
  return records;
}

std::pair<Revision, std::size_t> VersionOfCrashRecords(
    const std::map<std::string, keyvalue::KeyValue>& own_keys) {
  std::pair<Revision, std::size_t> version = {0, 0};
  ForEachRecord(own_keys, kPrefix, [&](const keyvalue::KeyValue& item) {
    version.first = std::max(version.first, item.m_mod_revision);
    ++version.second;
  });
  return version;
}

}  // namespace hickoryloft::host
