#include "ReadinessChecker.hpp"

#include "common/HttpConnection.hpp"

#include <chrono>

namespace cactuspitch {

ReadinessChecker::ReadinessChecker(const Clock& aClock,
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

ReadinessChecker::~ReadinessChecker()
{
  stopping_ = true;
  if (thread_.joinable()) {
    thread_.join();
  }
}

void ReadinessChecker::Run()
{
  constexpr TimeMs kCheckTimeoutMs = 200;
  constexpr size_t kMaxResponseBytes = 1 << 16;
  constexpr int kOk = 200;
  while (!stopping_) {
    for (size_t target = 0; target < targets_.size(); ++target) {
      HttpConnection connection(clock_, targets_[target]);
      const auto response =
        connection.Exchange({ "GET", "/_ready", {}, {} },
                            clock_.NowMs() + kCheckTimeoutMs,
                            kMaxResponseBytes);
      ready_[target] = response.ok() && response->head_.status_ == kOk;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(intervalMs_));
  }
}

}
