// loft-standin-platform: stand-in for the platform's key-value service and host
// list.

#include "StandIns/platform_stand_in.h"
#include "StandIns/program.h"

int main(int argc, char** argv) {
  using namespace hickoryloft::standins;
  Program program("Stand-in for the platform's key-value service");
  if (!program.Parse(argc, argv)) {
    return program.status();
  }
  const PlatformStandIn server(program.loop(), program.listen());
  return program.Run(server.address(), server.port());
}
