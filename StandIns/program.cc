#include "StandIns/program.h"

#include <csignal>
#include <iostream>

namespace hickoryloft::standins {

Program::Program(const std::string& description) : m_app(description) {
  m_app.add_option("--listen", m_listen,
                   "Address as ip:port; port 0 lets the system choose");
}

bool Program::Parse(int argc, char** argv) {
  try {
    m_app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    m_status = m_app.exit(error);
    return false;
  }
  return true;
}

int Program::Run(const std::string& address, std::uint16_t port) {
  std::signal(SIGPIPE, SIG_IGN);
  m_loop.OnSignal(SIGTERM, [this] { m_loop.Stop(); });
  m_loop.OnSignal(SIGINT, [this] { m_loop.Stop(); });
  // Flushed at once, because scripts wait for this line.
  std::cout << "listening " << address << ":" << port << std::endl;
  m_loop.Run();
  return 0;
}

}  // namespace hickoryloft::standins
