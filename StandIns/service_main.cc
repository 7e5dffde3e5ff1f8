// loft-standin-service: stand-in for a plain service.

#include "StandIns/program.h"
#include "StandIns/service_stand_in.h"

int main(int argc, char** argv) {
  using namespace hickoryloft::standins;
  Program program("Stand-in for a plain service");
  std::string name = "service";
  program.app().add_option("--name", name, "Name of the service");
  if (!program.Parse(argc, argv)) {
    return program.status();
  }
  const ServiceStandIn server(program.loop(), program.listen(), name);
  return program.Run(server.address(), server.port());
}
