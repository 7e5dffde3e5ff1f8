// The clients of the platform that the settings choose.

#ifndef SOURCE_COORDINATOR_PLATFORM_CLIENTS_H_
#define SOURCE_COORDINATOR_PLATFORM_CLIENTS_H_

#include <memory>

#include "base/event_loop.h"
#include "keyvalue/host_list.h"
#include "keyvalue/key_value_service.h"
#include "settings/setting_table.h"

namespace hickoryloft::coordinator {

// Returns the key-value service that "platform.kind" names. `loop` must outlive
// it.
std::unique_ptr<keyvalue::KeyValueService> MakeKeyValueService(
    EventLoop& loop,
    const settings::Settings& settings);

// Returns the host list: read over HTTP, from a file, or empty. `loop` must
// outlive it. Throws Error(kIo) or Error(kProtocol) about the file.
std::unique_ptr<keyvalue::HostList> MakeHostList(
    EventLoop& loop,
    const settings::Settings& settings);

}  // namespace hickoryloft::coordinator

#endif  // SOURCE_COORDINATOR_PLATFORM_CLIENTS_H_
