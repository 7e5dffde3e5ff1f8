#include "tools/load/load_run.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

namespace hickoryloft::tools {
namespace {

using Json = nlohmann::json;

constexpr Duration kTickInterval = milliseconds(1);
constexpr Duration kDrainLimit = seconds(60);
constexpr int kStatusOk = 200;
constexpr int kStatusRedirect = 300;
// Bytes kept of an answer's body: enough for the problem document of a refusal.
constexpr std::size_t kMaxKeptBody = 4096;
constexpr char kProblemPrefix[] = "urn:hickoryloft:problem:";

// Returns the cumulative Zipf weights of the flow's models.
std::vector<double> CumulativeOf(const Flow& flow) {
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
std::string RefusalType(const std::string& body, int status) {
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
const char* SuccessOf(bool echoed, bool whole) {
  if (!echoed) {
    return "wrong_request_id";
  }
  return whole ? "completed" : "cut_stream";
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
  m_started = m_loop.Now();
  for (const Flow& flow : m_scenario.m_flows) {
    if (flow.m_requests_per_second * m_options.m_rate_scale <= 0) {
      continue;
    }
    m_flows.push_back({.m_flow = &flow, .m_cumulative = CumulativeOf(flow)});
    Plan(m_flows.back(), m_started);
  }
  m_timer = m_loop.Every(kTickInterval, [this] { Tick(); });
}

void LoadRun::Plan(FlowState& state, MonotonicTime from) {
  std::exponential_distribution<double> interval(
      state.m_flow->m_requests_per_second * m_options.m_rate_scale);
  state.m_next = from + FromSeconds(interval(m_random));
}

bool LoadRun::Over() const {
  return m_last_id >= m_options.m_max_requests ||
         m_loop.Now() - m_started >= m_options.m_duration;
}

void LoadRun::Tick() {
  const MonotonicTime now = m_loop.Now();
  for (FlowState& state : m_flows) {
    while (!Over() && state.m_next <= now) {
      Send(state, state.m_next);
      Plan(state, state.m_next);
    }
  }
  const Duration since = now - m_started;
  if (!Over()) {
    return;
  }
  if (m_elapsed == Duration{}) {
    m_elapsed = since;
  }
  if (m_open.empty() || since > m_elapsed + kDrainLimit) {
    FinishRun();
  }
}

void LoadRun::FinishRun() {
  while (!m_open.empty()) {
    Finish(m_open.begin()->first, "unanswered");
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

std::string LoadRun::DrawModel(const FlowState& state) {
  std::uniform_real_distribution<double> draw(0, state.m_cumulative.back());
  const auto found = std::upper_bound(state.m_cumulative.begin(),
                                      state.m_cumulative.end(), draw(m_random));
  const auto index =
      static_cast<std::size_t>(std::min(found, state.m_cumulative.end() - 1) -
                               state.m_cumulative.begin());
  return state.m_flow->m_models[index];
}

std::string LoadRun::BodyOf(const FlowState& state) {
  const Flow& flow = *state.m_flow;
  if (flow.m_models.empty()) {
    return Json{{"flow", flow.m_name}}.dump();
  }
  std::string prompt;
  for (std::uint64_t word = 0; word < flow.m_prompt_words; ++word) {
    prompt += "jar ";
  }
  const std::string model =
      m_options.m_direct ? m_options.m_direct_model : DrawModel(state);
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
      .m_body = BodyOf(state)};
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

void LoadRun::Send(const FlowState& state, MonotonicTime planned) {
  if (m_open.size() >= m_options.m_max_open) {
    m_report.AddUnsent();
    return;
  }
  const std::uint64_t id = ++m_last_id;
  OpenRequest& open = m_open[id];
  open.m_planned = planned;
  open.m_request_id =
      std::to_string(m_options.m_seed) + "-" + std::to_string(id);
  open.m_sample.m_account = state.m_flow->m_account;
  open.m_sample.m_flow = state.m_flow->m_name;
  open.m_call =
      m_client.Start(MakeRequest(state, open.m_request_id), EventsFor(id));
}

endpoint::CallEvents LoadRun::EventsFor(std::uint64_t id) {
  return {.m_head = [this, id](
                        const endpoint::AnswerHead& head) { OnHead(id, head); },
          .m_bytes = [this, id](std::string_view bytes) { OnBytes(id, bytes); },
          .m_done = [this, id] { Finish(id, ""); },
          .m_failed =
              [this, id](const Error& error) {
                Finish(id, std::string(ToString(error.code())));
              }};
}

void LoadRun::OnHead(std::uint64_t id, const endpoint::AnswerHead& head) {
  OpenRequest& open = m_open.at(id);
  open.m_status = head.m_status;
  const std::string* echo =
      endpoint::FindHeader(head.m_headers, "X-Request-Id");
  open.m_echoed = echo != nullptr && *echo == open.m_request_id;
  const std::string* type =
      endpoint::FindHeader(head.m_headers, "Content-Type");
  open.m_event_stream =
      type != nullptr && type->rfind("text/event-stream", 0) == 0;
  open.m_whole = !open.m_event_stream;
}

void LoadRun::OnBytes(std::uint64_t id, std::string_view bytes) {
  OpenRequest& open = m_open.at(id);
  if (!open.m_began) {
    open.m_began = true;
    open.m_sample.m_first_byte = m_loop.Now() - open.m_planned;
  }
  if (open.m_event_stream) {
    const endpoint::SseBatch batch = open.m_events.Feed(bytes);
    open.m_sample.m_tokens += batch.m_tokens;
    open.m_whole = open.m_whole || batch.m_done_marker;
  }
  if (open.m_body.size() + bytes.size() <= kMaxKeptBody) {
    open.m_body.append(bytes);
  }
}

void LoadRun::Finish(std::uint64_t id, const std::string& failure) {
  const auto found = m_open.find(id);
  OpenRequest& open = found->second;
  LoadSample sample = std::move(open.m_sample);
  sample.m_total = m_loop.Now() - open.m_planned;
  if (!open.m_began) {
    sample.m_first_byte = sample.m_total;
  }
  if (!failure.empty()) {
    sample.m_outcome = failure;
  } else if (open.m_status < kStatusOk || open.m_status >= kStatusRedirect) {
    sample.m_outcome = RefusalType(open.m_body, open.m_status);
  } else {
    sample.m_outcome = SuccessOf(open.m_echoed, open.m_whole);
  }
  m_report.Add(std::move(sample));
  m_open.erase(found);
}

}  // namespace hickoryloft::tools
