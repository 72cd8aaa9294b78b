#include "ExecutionHistory.hpp"

#include "common/Strings.hpp"

#include <ctime>

#include <nlohmann/json.hpp>

namespace cactuspitch {

namespace detail {

/// Limit of the history kept in memory for GET /_history; the file is not
/// limited.
constexpr size_t kMaxHistoryBytes = 64 << 20;

}

ExecutionHistory::ExecutionHistory(std::string aServer,
                                   std::string aIncarnation,
                                   const std::string& aFile)
  : server_(std::move(aServer))
  , incarnation_(std::move(aIncarnation))
{
  if (!aFile.empty()) {
    file_.open(aFile, std::ios::app);
  }
}

void ExecutionHistory::Record(const Execution& aExecution)
{
  const nlohmann::json line = { { "server", server_ },
                                { "incarnation", incarnation_ },
                                { "id", aExecution.requestId_ },
                                { "method", aExecution.method_ },
                                { "service", aExecution.service_ },
                                { "key", aExecution.key_ },
                                { "epoch", aExecution.epoch_ },
                                { "startUs", aExecution.startUs_ },
                                { "commitUs", aExecution.commitUs_ },
                                { "answer", aExecution.response_ } };
  const auto text = Concat(line.dump(), "\n");
  const std::lock_guard lock(mutex_);
  if (file_.is_open()) {
    // Flushes each line, since tests kill the process at arbitrary times.
    file_ << text << std::flush;
  }
  if (lines_.size() + text.size() <= detail::kMaxHistoryBytes) {
    lines_ += text;
  }
}

std::string ExecutionHistory::Lines() const
{
  const std::lock_guard lock(mutex_);
  return lines_;
}

int64_t BootTimeUs()
{
  constexpr int64_t kUsPerSecond = 1000000;
  constexpr int64_t kNsPerUs = 1000;
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return now.tv_sec * kUsPerSecond + now.tv_nsec / kNsPerUs;
}

}
