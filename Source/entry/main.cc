// loft-entry: the HTTP server for callers.

#include <csignal>
#include <memory>

#include "base/log.h"
#include "entry/entry_daemon.h"
#include "entry/entry_settings.h"
#include "entry/ledger_action_gate.h"
#include "entry/rate_token_gate.h"
#include "program/daemon_program.h"

namespace {

using hickoryloft::EventLoop;
using hickoryloft::settings::Settings;
namespace entry = hickoryloft::entry;

entry::Gates MakeGates(EventLoop& loop,
                       entry::CoordinatorLink& link,
                       const entry::EntrySettings& entry_settings) {
  auto tokens =
      std::make_unique<entry::RateTokenGate>(loop, link, entry_settings.m_host);
  const entry::RateTokenGate* gate = tokens.get();
  return {.m_tokens = std::move(tokens),
          .m_actions = std::make_unique<entry::LedgerActionGate>(loop, link),
          .m_returning_tokens = [gate] { return gate->busy(); }};
}

void Serve(const Settings& settings) {
  const entry::EntrySettings entry_settings =
      entry::ParseEntrySettings(settings);
  hickoryloft::ConfigureLogs(entry_settings.m_log_level,
                             entry_settings.m_log_format);
  std::signal(SIGPIPE, SIG_IGN);
  EventLoop loop;
  entry::EntryDaemon daemon(
      loop, entry_settings,
      [&](EventLoop& gate_loop, entry::CoordinatorLink& link) {
        return MakeGates(gate_loop, link, entry_settings);
      });
  loop.OnSignal(SIGTERM, [&] { daemon.BeginStop(); });
  loop.OnSignal(SIGINT, [&] { daemon.BeginStop(); });
  loop.Run();
}

}  // namespace

int main(int argc, char** argv) {
  return hickoryloft::program::RunDaemonProgram(
      {.m_name = "loft-entry",
       .m_version = HICKORYLOFT_VERSION,
       .m_description =
           "Answers callers' requests for models and plain services.",
       .m_table = entry::EntrySettingTable(),
       .m_check =
           [](const Settings& settings) {
             entry::ParseEntrySettings(settings);
           },
       .m_run = &Serve},
      argc, argv);
}
