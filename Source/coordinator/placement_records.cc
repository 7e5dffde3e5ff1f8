#include "coordinator/placement_records.h"

#include <algorithm>

namespace hickoryloft::coordinator {

using placement::RecordKind;
using placement::RecordName;
using placement::RecordReply;

namespace {

std::uint32_t ToWireMillis(Duration duration) {
  return static_cast<std::uint32_t>(
      std::max<std::int64_t>(ToMillis(duration).count(), 0));
}

}  // namespace

wire::DemandReplyT ToDemandReply(const placement::DemandAnswer& answer) {
  wire::DemandReplyT reply;
  reply.verdict = static_cast<wire::DemandVerdict>(answer.m_verdict);
  reply.endpoint = answer.m_endpoint.value();
  reply.ready_in_ms = ToWireMillis(answer.m_ready_in);
  reply.retry_after_ms = ToWireMillis(answer.m_retry_after);
  reply.reason = answer.m_reason == placement::RefusalReason::kNone
                     ? ""
                     : placement::ToString(answer.m_reason);
  return reply;
}

std::string RecordPrefix(RecordKind kind) {
  static constexpr std::array<const char*, 3> kNames = {"models", "endpoints",
                                                        "store"};
  return std::string("/hickoryloft/placement/") +
         kNames[static_cast<std::size_t>(kind)] + "/";
}

std::string RecordKey(const RecordName& record) {
  return RecordPrefix(record.m_kind) + record.m_name;
}

RecordReply ToRecordReply(RecordKind kind, const keyvalue::KeyValue& item) {
  return {.m_record = {.m_kind = kind,
                       .m_name = item.m_key.substr(RecordPrefix(kind).size())},
          .m_swapped = false,
          .m_revision = item.m_mod_revision,
          .m_value = item.m_value};
}

RecordReply ToRecordReply(const RecordName& record,
                          const keyvalue::SwapReply& reply) {
  if (reply.m_swapped) {
    return {
        .m_record = record, .m_swapped = true, .m_revision = reply.m_revision};
  }
  if (reply.m_current.has_value()) {
    return ToRecordReply(record.m_kind, *reply.m_current);
  }
  return {.m_record = record};
}

RecordReply ToRecordReply(const RecordName& record,
                          const keyvalue::ReadReply& reply) {
  if (reply.m_items.empty()) {
    return {.m_record = record};
  }
  return ToRecordReply(record.m_kind, reply.m_items.front());
}

}  // namespace hickoryloft::coordinator
