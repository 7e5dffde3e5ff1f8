#include "keyvalue/etcd_json.h"

#include <charconv>

#include "base/error.h"
#include "keyvalue/base64.h"

namespace hickoryloft::keyvalue {

namespace {

[[noreturn]] void ThrowMalformedField(const char* name) {
  throw Error(ErrorCode::kProtocol,
              std::string("the answer's field ") + name + " is malformed");
}

}  // namespace

nlohmann::json ParseEtcdObject(const std::string& text) {
  nlohmann::json object =
      nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!object.is_object()) {
    throw Error(ErrorCode::kProtocol, "the answer is not a JSON object");
  }
  return object;
}

std::int64_t EtcdInteger(const nlohmann::json& object, const char* name) {
  const auto found = object.find(name);
  if (found == object.end()) {
    return 0;
  }
  if (found->is_number_integer()) {
    return found->get<std::int64_t>();
  }
  if (!found->is_string()) {
    ThrowMalformedField(name);
  }
  const auto& text = found->get_ref<const std::string&>();
  std::int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    ThrowMalformedField(name);
  }
  return value;
}

std::string EtcdBytes(const nlohmann::json& object, const char* name) {
  const auto found = object.find(name);
  if (found == object.end()) {
    return {};
  }
  if (!found->is_string()) {
    ThrowMalformedField(name);
  }
  return DecodeBase64(found->get_ref<const std::string&>());
}

nlohmann::json EtcdMember(const nlohmann::json& object, const char* name) {
  const auto found = object.find(name);
  if (found == object.end() || found->is_null()) {
    return nullptr;
  }
  if (!found->is_structured()) {
    ThrowMalformedField(name);
  }
  return *found;
}

std::string EtcdRangeEnd(const nlohmann::json& request) {
  const std::string end = EtcdBytes(request, "range_end");
  return end == std::string(1, '\0') ? "" : end;
}

Revision EtcdRevision(const nlohmann::json& answer) {
  const nlohmann::json header = EtcdMember(answer, "header");
  const Revision revision =
      header.is_null() ? 0 : EtcdInteger(header, "revision");
  if (revision <= 0) {
    ThrowMalformedField("header");
  }
  return revision;
}

KeyValue ParseEtcdKeyValue(const nlohmann::json& object) {
  if (!object.is_object()) {
    ThrowMalformedField("kv");
  }
  return {.m_key = EtcdBytes(object, "key"),
          .m_value = EtcdBytes(object, "value"),
          .m_create_revision = EtcdInteger(object, "create_revision"),
          .m_mod_revision = EtcdInteger(object, "mod_revision"),
          .m_lease = EtcdInteger(object, "lease")};
}

nlohmann::json ToEtcdJson(const KeyValue& item) {
  nlohmann::json object = {
      {"key", EncodeBase64(item.m_key)},
      {"create_revision", std::to_string(item.m_create_revision)},
      {"mod_revision", std::to_string(item.m_mod_revision)},
      {"value", EncodeBase64(item.m_value)}};
  if (item.m_lease != 0) {
    object["lease"] = std::to_string(item.m_lease);
  }
  return object;
}

WatchEvent ParseEtcdEvent(const nlohmann::json& object) {
  if (!object.is_object()) {
    ThrowMalformedField("events");
  }
  return {.m_deleted = object.value("type", nlohmann::json()) == "DELETE",
          .m_item = ParseEtcdKeyValue(EtcdMember(object, "kv"))};
}

nlohmann::json ToEtcdJson(const WatchEvent& event) {
  if (!event.m_deleted) {
    return {{"kv", ToEtcdJson(event.m_item)}};
  }
  return {{"type", "DELETE"},
          {"kv",
           {{"key", EncodeBase64(event.m_item.m_key)},
            {"mod_revision", std::to_string(event.m_item.m_mod_revision)}}}};
}

}  // namespace hickoryloft::keyvalue
