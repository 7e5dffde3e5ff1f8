#include "tools/load/load_run.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

namespace hickoryloft::tools {
namespace {

using Json = nlohmann::json;

constexpr Duration kTickInterval = milliseconds(1);
constexpr Duration kDrainTimeout = seconds(60);
constexpr int kFirstSuccessStatus = 200;
constexpr int kFirstRedirectStatus = 300;
// Bytes kept of an answer's body: enough for the problem document of a refusal.
constexpr std::size_t kMaxKeptBodyBytes = 4096;
constexpr char kProblemPrefix[] = "urn:hickoryloft:problem:";

// Returns the cumulative Zipf weights of the flow's models.
std::vector<double> CumulativeWeights(const Flow& flow) {
  std::vector<double> cumulative;
  double sum = 0;
  for (std::size_t rank = 1; rank <= flow.m_models.size(); ++rank) {
    sum += 1 / std::pow(static_cast<double>(rank), flow.m_skew);
    cumulative.push_back(sum);
  }
  return cumulative;
}

// Returns the type of the problem document in `body` without its URN prefix, or
// "status_<status>" if there is none.
std::string ProblemType(const std::string& body, int status) {
  const Json problem = Json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (problem.is_object() && problem.contains("type") &&
      problem["type"].is_string()) {
    const std::string type = problem["type"].get<std::string>();
    const std::string prefix = kProblemPrefix;
    return type.rfind(prefix, 0) == 0 ? type.substr(prefix.size()) : type;
  }
  return "status_" + std::to_string(status);
}

// Returns the outcome of an answer with a successful status.
const char* SuccessOutcome(bool request_id_echoed, bool complete) {
  if (!request_id_echoed) {
    return "wrong_request_id";
  }
  return complete ? "completed" : "cut_stream";
}

}  // namespace

LoadRun::LoadRun(EventLoop& loop,
                 endpoint::HttpClient& client,
                 const Scenario& scenario,
                 LoadOptions options)
    : m_loop(loop),
      m_client(client),
      m_scenario(scenario),
      m_options(std::move(options)),
      m_random(m_options.m_seed) {}

void LoadRun::Start(std::function<void()> done) {
  m_done = std::move(done);
  m_start_time = m_loop.Now();
  for (const Flow& flow : m_scenario.m_flows) {
    if (flow.m_requests_per_second * m_options.m_rate_scale <= 0) {
      continue;
    }
    m_flows.push_back(
        {.m_flow = &flow, .m_cumulative_weights = CumulativeWeights(flow)});
    PlanNextArrival(m_flows.back(), m_start_time);
  }
  m_timer = m_loop.Every(kTickInterval, [this] { SendDueRequests(); });
}

void LoadRun::PlanNextArrival(FlowState& state, MonotonicTime from) {
  std::exponential_distribution<double> interval(
      state.m_flow->m_requests_per_second * m_options.m_rate_scale);
  state.m_next_arrival = from + FromSeconds(interval(m_random));
}

bool LoadRun::ArrivalsEnded() const {
  return m_last_id >= m_options.m_max_requests ||
         m_loop.Now() - m_start_time >= m_options.m_duration;
}

void LoadRun::SendDueRequests() {
  const MonotonicTime now = m_loop.Now();
  for (FlowState& state : m_flows) {
    while (!ArrivalsEnded() && state.m_next_arrival <= now) {
      Send(state, state.m_next_arrival);
      PlanNextArrival(state, state.m_next_arrival);
    }
  }
  const Duration since_start = now - m_start_time;
  if (!ArrivalsEnded()) {
    return;
  }
  if (m_elapsed == Duration{}) {
    m_elapsed = since_start;
  }
  if (m_open_requests.empty() || since_start > m_elapsed + kDrainTimeout) {
    FinishRun();
  }
}

void LoadRun::FinishRun() {
  while (!m_open_requests.empty()) {
    FinishRequest(m_open_requests.begin()->first, "unanswered");
  }
  // This runs in the timer's callback, so the timer is destroyed in a later
  // task. The timer may fire again before that and post a second task.
  m_loop.Post([this] {
    if (m_timer) {
      m_timer.reset();
      m_done();
    }
  });
}

std::string LoadRun::PickModel(const FlowState& state) {
  std::uniform_real_distribution<double> distribution(
      0, state.m_cumulative_weights.back());
  const auto found = std::upper_bound(state.m_cumulative_weights.begin(),
                                      state.m_cumulative_weights.end(),
                                      distribution(m_random));
  const auto index = static_cast<std::size_t>(
      std::min(found, state.m_cumulative_weights.end() - 1) -
      state.m_cumulative_weights.begin());
  return state.m_flow->m_models[index];
}

std::string LoadRun::MakeBody(const FlowState& state) {
  const Flow& flow = *state.m_flow;
  if (flow.m_models.empty()) {
    return Json{{"flow", flow.m_name}}.dump();
  }
  std::string prompt;
  for (std::uint64_t word = 0; word < flow.m_prompt_words; ++word) {
    prompt += "jar ";
  }
  const std::string model =
      m_options.m_direct ? m_options.m_direct_model : PickModel(state);
  return Json{{"model", model},
              {"prompt", prompt},
              {"max_tokens", flow.m_max_tokens},
              {"stream", flow.m_stream}}
      .dump();
}

endpoint::CallRequest LoadRun::MakeRequest(const FlowState& state,
                                           const std::string& request_id) {
  const Flow& flow = *state.m_flow;
  const std::size_t target = m_last_id % m_scenario.m_targets.size();
  endpoint::CallRequest request{
      .m_endpoint = m_scenario.m_targets[target],
      .m_target = flow.m_path.empty() ? "/v1/completions" : flow.m_path,
      .m_headers = {{"Content-Type", "application/json"},
                    {"X-Request-Id", request_id}},
      .m_body = MakeBody(state)};
  const auto key = m_scenario.m_keys.find(flow.m_account);
  if (!m_options.m_direct && key != m_scenario.m_keys.end()) {
    request.m_headers.push_back({"Authorization", "Bearer " + key->second});
  }
  if (flow.m_patience.count() > 0) {
    request.m_headers.push_back(
        {"X-Patience-Ms", std::to_string(flow.m_patience.count())});
  }
  if (flow.m_idempotency_key) {
    request.m_headers.push_back({"Idempotency-Key", request_id});
  }
  return request;
}

void LoadRun::Send(const FlowState& state, MonotonicTime planned_arrival) {
  if (m_open_requests.size() >= m_options.m_max_open) {
    m_report.RecordUnsent();
    return;
  }
  const std::uint64_t id = ++m_last_id;
  OpenRequest& open = m_open_requests[id];
  open.m_planned_arrival = planned_arrival;
  open.m_request_id =
      std::to_string(m_options.m_seed) + "-" + std::to_string(id);
  open.m_sample.m_account = state.m_flow->m_account;
  open.m_sample.m_flow = state.m_flow->m_name;
  open.m_call =
      m_client.Start(MakeRequest(state, open.m_request_id), MakeCallEvents(id));
}

endpoint::CallEvents LoadRun::MakeCallEvents(std::uint64_t id) {
  return {.m_head = [this, id](
                        const endpoint::AnswerHead& head) { OnHead(id, head); },
          .m_bytes = [this, id](std::string_view bytes) { OnBytes(id, bytes); },
          .m_done = [this, id] { FinishRequest(id, ""); },
          .m_failed =
              [this, id](const Error& error) {
                FinishRequest(id, std::string(ToString(error.code())));
              }};
}

void LoadRun::OnHead(std::uint64_t id, const endpoint::AnswerHead& head) {
  OpenRequest& open = m_open_requests.at(id);
  open.m_status = head.m_status;
  const std::string* echo =
      endpoint::FindHeader(head.m_headers, "X-Request-Id");
  open.m_request_id_echoed = echo != nullptr && *echo == open.m_request_id;
  const std::string* type =
      endpoint::FindHeader(head.m_headers, "Content-Type");
  open.m_event_stream =
      type != nullptr && type->rfind("text/event-stream", 0) == 0;
  open.m_complete = !open.m_event_stream;
}

void LoadRun::OnBytes(std::uint64_t id, std::string_view bytes) {
  OpenRequest& open = m_open_requests.at(id);
  if (!open.m_first_byte_received) {
    open.m_first_byte_received = true;
    open.m_sample.m_first_byte = m_loop.Now() - open.m_planned_arrival;
  }
  if (open.m_event_stream) {
    const endpoint::SseBatch batch = open.m_sse_parser.Feed(bytes);
    open.m_sample.m_tokens += batch.m_tokens;
    open.m_complete = open.m_complete || batch.m_done_marker;
  }
  if (open.m_body.size() + bytes.size() <= kMaxKeptBodyBytes) {
    open.m_body.append(bytes);
  }
}

void LoadRun::FinishRequest(std::uint64_t id, const std::string& failure) {
  const auto found = m_open_requests.find(id);
  OpenRequest& open = found->second;
  LoadSample sample = std::move(open.m_sample);
  sample.m_total = m_loop.Now() - open.m_planned_arrival;
  if (!open.m_first_byte_received) {
    sample.m_first_byte = sample.m_total;
  }
  if (!failure.empty()) {
    sample.m_outcome = failure;
  } else if (open.m_status < kFirstSuccessStatus ||
             open.m_status >= kFirstRedirectStatus) {
    sample.m_outcome = ProblemType(open.m_body, open.m_status);
  } else {
    sample.m_outcome =
        SuccessOutcome(open.m_request_id_echoed, open.m_complete);
  }
  m_report.Add(std::move(sample));
  m_open_requests.erase(found);
}

}  // namespace hickoryloft::tools
