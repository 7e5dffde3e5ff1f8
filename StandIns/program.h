// Parts of the main function that the stand-in programs share.

#ifndef STANDINS_PROGRAM_H_
#define STANDINS_PROGRAM_H_

#include <CLI/CLI.hpp>
#include <cstdint>
#include <string>

#include "StandIns/stand_in.h"
#include "base/event_loop.h"

namespace hickoryloft::standins {

// Command line, event loop and shutdown of a stand-in program. Use on the main
// thread only.
class Program {
 public:
  explicit Program(const std::string& description);

  // Programs add their own options here before Parse().
  CLI::App& app() { return m_app; }
  EventLoop& loop() { return m_loop; }
  // Returns the address given by --listen. Throws Error(kInvalidArgument) if it
  // is malformed. Precondition: Parse() returned true.
  ListenAddress listen() const { return ParseListenAddress(m_listen); }

  // Returns whether the program should run; if not, status() is its exit
  // status.
  bool Parse(int argc, char** argv);
  int status() const { return m_status; }

  // Prints "listening <ip>:<port>" and runs until SIGTERM or SIGINT.
  int Run(const std::string& address, std::uint16_t port);

 private:
  CLI::App m_app;
  EventLoop m_loop;
  std::string m_listen = "127.0.0.1:0";
  int m_status = 0;
};

}  // namespace hickoryloft::standins

#endif  // STANDINS_PROGRAM_H_
