// loft-standin-store: stand-in for the weight store.

#include "StandIns/program.h"
#include "StandIns/store_stand_in.h"

int main(int argc, char** argv) {
  using namespace hickoryloft::standins;
  Program program("Stand-in for the weight store");
  StoreSettings settings;
  program.app().add_option("--loads-per-second", settings.m_loads_per_second,
                           "Loads that may start in a second");
  program.app().add_option("--loads-at-full-speed",
                           settings.m_loads_at_full_speed,
                           "Loads at once before all slow down");
  program.app().add_option("--adapters-at-full-speed",
                           settings.m_adapters_at_full_speed,
                           "Adapter loads at once before all slow down");
  program.app().add_option("--bytes-per-second", settings.m_bytes_per_second,
                           "Speed of one load by itself");
  if (!program.Parse(argc, argv)) {
    return program.status();
  }
  const StoreStandIn server(program.loop(), program.listen(), settings);
  return program.Run(server.address(), server.port());
}
