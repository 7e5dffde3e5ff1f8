#include "actions/action_record.h"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/error.h"
#include "base/hashing.h"

namespace hickoryloft::actions {

namespace {

using Json = nlohmann::json;

constexpr std::array<std::pair<RecordKind, std::string_view>, 5> kKindNames = {{
    {RecordKind::kEpoch, "epoch"},
    {RecordKind::kStarted, "started"},
    {RecordKind::kAnswered, "answered"},
    {RecordKind::kClosed, "closed"},
    {RecordKind::kUnknown, "unknown"},
}};

constexpr unsigned kHighBit = 0x80;
constexpr unsigned kLowSixBits = 0x3F;
constexpr unsigned kTwoByteLead = 0xC0;
constexpr unsigned kSixBits = 6;

// Encodes each byte as the code point of the same number, since keys and bodies
// may contain any bytes but JSON strings must be valid UTF-8.
std::string BytesToUtf8(const std::string& bytes) {
  std::string text;
  for (const char byte : bytes) {
    const auto code = static_cast<unsigned char>(byte);
    if (code < kHighBit) {
      text += byte;
      continue;
    }
    text += static_cast<char>(kTwoByteLead | (code >> kSixBits));
    text += static_cast<char>(kHighBit | (code & kLowSixBits));
  }
  return text;
}

std::string Utf8ToBytes(const std::string& text) {
  std::string bytes;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const auto code = static_cast<unsigned char>(text[i]);
    if (code < kHighBit || i + 1 == text.size()) {
      bytes += text[i];
      continue;
    }
    const auto next = static_cast<unsigned char>(text[++i]);
    bytes += static_cast<char>((code << kSixBits) | (next & kLowSixBits));
  }
  return bytes;
}

std::string_view NameOf(RecordKind kind) {
  for (const auto& [candidate, name] : kKindNames) {
    if (candidate == kind) {
      return name;
    }
  }
  return "";
}

RecordKind ParseKind(const std::string& name) {
  for (const auto& [kind, candidate] : kKindNames) {
    if (candidate == name) {
      return kind;
    }
  }
  throw Error(ErrorCode::kProtocol, "unknown kind of action record: " + name);
}

Json ToJson(const ActionRecord& record) {
  Json json = {{"kind", NameOf(record.m_kind)},
               {"at_ms", record.m_at.time_since_epoch().count()}};
  if (record.m_kind == RecordKind::kEpoch) {
    return json;
  }
  json["account"] = BytesToUtf8(record.m_id.m_account);
  json["key"] = BytesToUtf8(record.m_id.m_key);
  json["digest"] = BytesToUtf8(record.m_digest);
  json["attempt"] = record.m_attempt;
  if (record.m_kind == RecordKind::kAnswered) {
    json["status"] = record.m_answer.m_status;
    json["content_type"] = BytesToUtf8(record.m_answer.m_content_type);
    json["body"] = BytesToUtf8(record.m_answer.m_body);
  }
  return json;
}

std::string Bytes(const Json& json, const char* member) {
  return Utf8ToBytes(json.at(member).get<std::string>());
}

ActionRecord ParseRecord(const Json& json) {
  ActionRecord record{
      .m_kind = ParseKind(json.at("kind").get<std::string>()),
      .m_at = WallTime(milliseconds(json.at("at_ms").get<std::int64_t>()))};
  if (record.m_kind == RecordKind::kEpoch) {
    return record;
  }
  record.m_id = {.m_account = Bytes(json, "account"),
                 .m_key = Bytes(json, "key")};
  record.m_digest = Bytes(json, "digest");
  record.m_attempt = json.at("attempt").get<std::uint64_t>();
  if (record.m_kind == RecordKind::kAnswered) {
    record.m_answer = {.m_status = json.at("status").get<std::uint16_t>(),
                       .m_content_type = Bytes(json, "content_type"),
                       .m_body = Bytes(json, "body")};
  }
  return record;
}

}  // namespace

std::uint32_t ShardOf(const ActionId& id, std::uint32_t shards) {
  const std::uint64_t hash = StableHash(id.m_key, StableHash(id.m_account));
  return static_cast<std::uint32_t>(hash % shards);
}

std::string ToText(const ActionBatch& batch) {
  Json records = Json::array();
  for (const ActionRecord& record : batch.m_records) {
    records.push_back(ToJson(record));
  }
  return Json({{"fence", batch.m_fence},
               {"incarnation", batch.m_incarnation},
               {"nonce", batch.m_nonce},
               {"records", std::move(records)}})
      .dump();
}

ActionBatch ParseBatch(const std::string& text) {
  try {
    const Json json = Json::parse(text);
    ActionBatch batch{
        .m_fence = json.at("fence").get<FencingNumber>(),
        .m_incarnation = json.at("incarnation").get<Incarnation>(),
        .m_nonce = json.at("nonce").get<std::uint64_t>()};
    for (const Json& record : json.at("records")) {
      batch.m_records.push_back(ParseRecord(record));
    }
    return batch;
  } catch (const Json::exception& error) {
    throw Error(
        ErrorCode::kProtocol,
        std::string("cannot parse a batch of action records: ") + error.what());
  }
}

}  // namespace hickoryloft::actions
