// loft-relay-baseline: a minimal HTTP relay, only for comparison in
// measurements.

#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>

#include "base/error.h"
#include "tools/bench/relay_baseline.h"

int main(int argc, char** argv) {
  using hickoryloft::tools::RelaySettings;
  CLI::App app{"Relays every request to one target without any decision."};
  RelaySettings settings;
  app.set_version_flag("--version", HICKORYLOFT_VERSION);
  app.footer(
      "Example:\n  loft-relay-baseline --listen-port 9001 --target-port 9000\n"
      "Exit codes: 0 done; 1 cannot listen; 100 and above: wrong usage.");
  settings.m_listen_address = "127.0.0.1";
  settings.m_target_address = "127.0.0.1";
  app.add_option("--listen-address", settings.m_listen_address,
                 "IP number to listen on");
  app.add_option("--listen-port", settings.m_listen_port, "Port to listen on")
      ->required();
  app.add_option("--target-address", settings.m_target_address,
                 "IP number of the target");
  app.add_option("--target-port", settings.m_target_port, "Port of the target")
      ->required();
  CLI11_PARSE(app, argc, argv);
  try {
    std::signal(SIGPIPE, SIG_IGN);
    hickoryloft::EventLoop loop;
    const hickoryloft::tools::RelayBaseline relay(loop, settings);
    loop.OnSignal(SIGTERM, [&] { loop.Stop(); });
    loop.Run();
    return 0;
  } catch (const hickoryloft::Error& error) {
    std::cerr << "loft-relay-baseline: " << error.what() << '\n';
    return 1;
  }
}
