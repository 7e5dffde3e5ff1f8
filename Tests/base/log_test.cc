#include "base/log.h"

#include <fcntl.h>
#include <spdlog/logger.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <climits>
#include <memory>
#include <sstream>
#include <string>

#include "base/bounded_sink.h"
#include "base/log_fields.h"

using namespace hickoryloft;

namespace {

// A pipe that is read only by calls to ReadAll().
class Pipe {
 public:
  Pipe() {
    REQUIRE(pipe(m_ends.data()) == 0);
    fcntl(m_ends[0], F_SETFL, O_NONBLOCK);
  }
  ~Pipe() {
    close(m_ends[0]);
    close(m_ends[1]);
  }
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;

  int writer() const { return m_ends[1]; }
  std::string ReadAll() {
    std::string text;
    std::array<char, 4096> buffer{};
    for (;;) {
      const ssize_t count = read(m_ends[0], buffer.data(), buffer.size());
      if (count <= 0) {
        return text;
      }
      text.append(buffer.data(), static_cast<std::size_t>(count));
    }
  }

 private:
  std::array<int, 2> m_ends{};
};

std::unique_ptr<spdlog::logger> MakeLogger(const Pipe& pipe) {
  auto logger = std::make_unique<spdlog::logger>(
      "test",
      std::make_shared<BoundedSink>(pipe.writer(), [](std::uint64_t dropped) {
        return "dropped " + std::to_string(dropped);
      }));
  logger->set_pattern("%v");
  return logger;
}

}  // namespace

TEST_CASE("A reader that does not read does not block the writer") {
  Pipe pipe;
  const auto logger = MakeLogger(pipe);
  const std::string line(1000, 'x');
  const auto began = std::chrono::steady_clock::now();
  constexpr int kLines = 2000;  // Far more than fits into a pipe.
  for (int i = 0; i < kLines; ++i) {
    logger->info(line);
  }
  CHECK(std::chrono::steady_clock::now() - began < seconds(5));
  std::istringstream first_batch(pipe.ReadAll());
  logger->info("next");
  std::istringstream rest(pipe.ReadAll());
  int complete = 0;
  int reported_dropped = 0;
  int next = 0;
  for (std::istringstream* lines : {&first_batch, &rest}) {
    for (std::string read; std::getline(*lines, read);) {
      const bool notice = read.starts_with("dropped ");
      CHECK((read == line || read == "next" || notice));
      complete += read == line ? 1 : 0;
      next += read == "next" ? 1 : 0;
      reported_dropped += notice ? std::stoi(read.substr(8)) : 0;
    }
  }
  CHECK(next == 1);
  CHECK(complete > 0);
  CHECK(complete + reported_dropped == kLines);

  logger->info("after");
  CHECK(pipe.ReadAll() == "after\n");
}

TEST_CASE("A line too long for an atomic write to a pipe is dropped") {
  Pipe pipe;
  const auto logger = MakeLogger(pipe);
  logger->info(std::string(PIPE_BUF, 'x'));
  logger->info("next");
  CHECK(pipe.ReadAll() == "dropped 1\nnext\n");
}

TEST_CASE("The lines of one kind per second are limited independently") {
  LineRateLimiter limiter(3);
  const MonotonicTime start(seconds(50));
  int admitted = 0;
  for (int i = 0; i < 10; ++i) {
    admitted += limiter.Admit("sent", start + milliseconds(i)) ? 1 : 0;
  }
  CHECK(admitted == 3);
  CHECK(limiter.Admit("over", start));
  CHECK(limiter.ConsumeDropped() == 7U);
  CHECK(limiter.ConsumeDropped() == 0U);
  CHECK(limiter.Admit("sent", start + milliseconds(1001)));
}

TEST_CASE("The log fields are sorted and each has a meaning") {
  for (std::size_t i = 0; i < kLogFields.size(); ++i) {
    CHECK_FALSE(kLogFields[i].m_meaning.empty());
    CHECK((i == 0 || kLogFields[i - 1].m_name < kLogFields[i].m_name));
  }
}
