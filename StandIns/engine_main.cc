// loft-standin-engine: stand-in for a model engine.

#include <string>

#include "StandIns/engine_stand_in.h"
#include "StandIns/program.h"

namespace {

using hickoryloft::standins::EngineSettings;

void AddOptions(CLI::App& app, EngineSettings& settings, std::string& store) {
  app.add_option("--name", settings.m_name, "Name of the endpoint");
  app.add_option("--failure-domain", settings.m_failure_domain,
                 "Failure domain of the endpoint");
  app.add_option("--memory-bytes", settings.m_memory_bytes,
                 "Accelerator memory in bytes");
  app.add_option("--store", store, "The weight store as ip:port");
  app.add_flag("--ignore-fencing", settings.m_ignore_fencing,
               "Accept every fencing number");
  app.add_option("--tokens-per-second-per-stream",
                 settings.m_decode.m_tokens_per_second_per_stream,
                 "Tokens per second of one stream up to a full batch");
  app.add_option("--prefill-tokens-per-second",
                 settings.m_decode.m_prefill_tokens_per_second,
                 "Prompt tokens per second of one stream");
  app.add_option("--batch", settings.m_decode.m_full_speed_sequences,
                 "Streams at full speed");
  app.add_option("--max-running", settings.m_decode.m_max_running,
                 "Streams at once; more of them wait");
  app.add_option("--memory-load-bytes-per-second",
                 settings.m_memory_bytes_per_second,
                 "Speed of a load of a checkpoint cached in memory");
  app.add_option("--disk-load-bytes-per-second",
                 settings.m_disk_bytes_per_second,
                 "Speed of a load of a checkpoint cached on disk");
}

}  // namespace

int main(int argc, char** argv) {
  using namespace hickoryloft::standins;
  Program program("Stand-in for a model engine");
  EngineSettings settings;
  std::string store;
  AddOptions(program.app(), settings, store);
  if (!program.Parse(argc, argv)) {
    return program.status();
  }
  if (!store.empty()) {
    settings.m_store = ParseListenAddress(store);
  }
  const EngineStandIn server(program.loop(), program.listen(), settings);
  return program.Run(server.address(), server.port());
}
