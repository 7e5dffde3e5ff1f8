// Open-loop load: sends the requests of a scenario at their planned times,
// whether or not earlier ones have been answered.

#ifndef SOURCE_TOOLS_LOAD_LOAD_RUN_H_
#define SOURCE_TOOLS_LOAD_LOAD_RUN_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/event_loop.h"
#include "base/random.h"
#include "endpoint/http_client.h"
#include "endpoint/sse_parser.h"
#include "tools/load/load_report.h"
#include "tools/load/scenario.h"

namespace hickoryloft::tools {

struct LoadOptions {
  Duration m_duration = seconds(10);
  std::uint64_t m_max_requests = 100'000;
  std::size_t m_max_open = 4096;  // Maximum number in progress.
  double m_rate_scale = 1;
  std::uint64_t m_seed = 1;
  // Sends requests directly to engines, without a key.
  bool m_direct = false;
  std::string m_direct_model;  // Model name in every direct request.
};

// Use on the loop's thread only. Must outlive the run.
class LoadRun {
 public:
  // All references must outlive this. Precondition: the scenario has targets
  // and flows.
  LoadRun(EventLoop& loop,
          endpoint::HttpClient& client,
          const Scenario& scenario,
          LoadOptions options);

  // Sends requests until the duration or the maximum number of requests is
  // reached. Then waits up to kDrainTimeout for the answers in progress and
  // calls `done`; requests without an answer by then count as "unanswered".
  void Start(std::function<void()> done);

  const LoadReport& report() const { return m_report; }
  Duration elapsed() const { return m_elapsed; }

 private:
  struct FlowState {
    const Flow* m_flow = nullptr;
    MonotonicTime m_next_arrival{};
    std::vector<double> m_cumulative_weights;  // Of the flow's models.
  };
  struct OpenRequest {
    LoadSample m_sample;
    MonotonicTime m_planned_arrival{};
    std::string m_request_id;
    int m_status = 0;
    bool m_request_id_echoed = false;
    bool m_event_stream = false;
    bool m_first_byte_received = false;
    bool m_complete = false;  // The answer is not truncated.
    endpoint::SseParser m_sse_parser;
    std::string m_body;
    std::unique_ptr<endpoint::Call> m_call;
  };

  void SendDueRequests();
  void PlanNextArrival(FlowState& state, MonotonicTime from);
  void Send(const FlowState& state, MonotonicTime planned_arrival);
  endpoint::CallRequest MakeRequest(const FlowState& state,
                                    const std::string& request_id);
  std::string MakeBody(const FlowState& state);
  std::string PickModel(const FlowState& state);
  endpoint::CallEvents MakeCallEvents(std::uint64_t id);
  void OnHead(std::uint64_t id, const endpoint::AnswerHead& head);
  void OnBytes(std::uint64_t id, std::string_view bytes);
  void FinishRequest(std::uint64_t id, const std::string& failure);
  bool ArrivalsEnded() const;
  void FinishRun();

  EventLoop& m_loop;
  endpoint::HttpClient& m_client;
  const Scenario& m_scenario;
  LoadOptions m_options;
  RandomEngine m_random;
  std::vector<FlowState> m_flows;
  std::map<std::uint64_t, OpenRequest> m_open_requests;
  std::uint64_t m_last_id = 0;
  MonotonicTime m_start_time{};
  Duration m_elapsed{};
  LoadReport m_report;
  std::unique_ptr<Timer> m_timer;
  std::function<void()> m_done;
};

}  // namespace hickoryloft::tools

#endif  // SOURCE_TOOLS_LOAD_LOAD_RUN_H_
