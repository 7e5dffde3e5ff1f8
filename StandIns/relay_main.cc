// loft-standin-relay: a TCP relay between two processes that injects network
// faults.

#include <iostream>
#include <string>

#include "StandIns/program.h"
#include "StandIns/relay.h"

int main(int argc, char** argv) {
  using namespace hickoryloft::standins;
  Program program("TCP relay whose traffic can be cut, restored and delayed");
  std::string target;
  std::string control = "127.0.0.1:0";
  program.app()
      .add_option("--target", target, "Where to relay to, as ip:port")
      ->required();
  program.app().add_option("--control", control,
                           "Address of the control server, as ip:port");
  if (!program.Parse(argc, argv)) {
    return program.status();
  }
  Relay relay(program.loop(), program.listen(), ParseListenAddress(target));
  const RelayControl server(program.loop(), ParseListenAddress(control), relay);
  std::cout << "control " << server.address() << ":" << server.port()
            << std::endl;
  return program.Run(program.listen().m_address, relay.port());
}
