// Creates the clients of the platform's services that the settings select.

#ifndef SOURCE_COORDINATOR_PLATFORM_CLIENTS_H_
#define SOURCE_COORDINATOR_PLATFORM_CLIENTS_H_

#include <memory>

#include "base/event_loop.h"
#include "keyvalue/host_list.h"
#include "keyvalue/key_value_service.h"
#include "settings/setting_table.h"

namespace hickoryloft::coordinator {

// Returns a client of the key-value service of kind "platform.kind". `loop`
// must outlive it.
std::unique_ptr<keyvalue::KeyValueService> MakeKeyValueService(
    EventLoop& loop,
    const settings::Settings& settings);

// Returns the host list, which is read over HTTP, read from a file, or empty.
// `loop` must outlive it. Throws Error(kIo) or Error(kProtocol) if the file
// cannot be read or is invalid.
std::unique_ptr<keyvalue::HostList> MakeHostList(
    EventLoop& loop,
    const settings::Settings& settings);

}  // namespace hickoryloft::coordinator

#endif  // SOURCE_COORDINATOR_PLATFORM_CLIENTS_H_
