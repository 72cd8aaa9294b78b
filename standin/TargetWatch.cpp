#include "TargetWatch.hpp"

#include "common/HttpConnection.hpp"

#include <chrono>

namespace cactuspitch {

TargetWatch::TargetWatch(const Clock& aClock,
                         std::vector<std::string> aTargets,
                         TimeMs aIntervalMs)
  : clock_(aClock)
  , targets_(std::move(aTargets))
  , intervalMs_(aIntervalMs)
  , ready_(targets_.size())
{
  for (auto& ready : ready_) {
    ready = true;
  }
  if (intervalMs_ > 0) {
    thread_ = std::thread([this] { Run(); });
  }
}

TargetWatch::~TargetWatch()
{
  stopping_ = true;
  if (thread_.joinable()) {
    thread_.join();
  }
}

void TargetWatch::Run()
{
  constexpr TimeMs kCheckMs = 200;
  constexpr size_t kMaxBytes = 1 << 16;
  constexpr int kOk = 200;
  while (!stopping_) {
    for (size_t target = 0; target < targets_.size(); ++target) {
      HttpConnection connection(clock_, targets_[target]);
      const auto answer = connection.Exchange(
        { "GET", "/_ready", {}, {} }, clock_.NowMs() + kCheckMs, kMaxBytes);
      ready_[target] = answer.ok() && answer->head_.status_ == kOk;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(intervalMs_));
  }
}

}
