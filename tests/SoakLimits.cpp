#include "tests/SoakLimits.hpp"

#include "common/Strings.hpp"

#include <algorithm>
#include <iterator>

namespace cactuspitch {

namespace {

constexpr TimeMs kWindowMs = 4000;
constexpr TimeMs kStableWindowMs = 3000;
/// Requests count from so long after the gateway was told on.
constexpr TimeMs kToldSlackMs = 500;
constexpr double kAllowedFactor = 1.5;
constexpr double kAllowedExtra = 5;
constexpr double kMsPerSecond = 1000;

}

void SoakLimits::OnLimitSet(const std::string& aIncarnation,
                            std::optional<double> aPerSecond,
                            TimeMs aNowMs)
{
  auto& server = servers_[aIncarnation];
  if (server.limits_.empty()) {
    server.firstNamedMs_ = aNowMs;
  }
  server.limits_[aNowMs] = aPerSecond;
  if (!aPerSecond) {
    server.toldMs_.clear();
  }
}

void SoakLimits::OnTold(const std::string& aIncarnation,
                        int aGateway,
                        TimeMs aNowMs)
{
  servers_[aIncarnation].toldMs_.try_emplace(aGateway, aNowMs);
}

void SoakLimits::OnGatewayFault(int aGateway)
{
  for (auto& [incarnation, server] : servers_) {
    server.toldMs_.erase(aGateway);
  }
}

std::optional<double> SoakLimits::Allowed(const Server& aServer, TimeMs aNowMs)
{
  const TimeMs fromMs = aNowMs - kWindowMs;
  auto current = aServer.limits_.upper_bound(fromMs);
  if (current == aServer.limits_.begin()) {
    return std::nullopt;
  }
  double sum = 0;
  for (--current; current != aServer.limits_.end(); ++current) {
    if (!current->second) {
      return std::nullopt;
    }
    const auto next = std::next(current);
    const TimeMs endMs = next == aServer.limits_.end() ? aNowMs : next->first;
    sum += *current->second *
           static_cast<double>(endMs - std::max(fromMs, current->first)) /
           kMsPerSecond;
  }
  return kAllowedFactor * sum + kAllowedExtra;
}

std::string SoakLimits::OnArrived(const std::string& aIncarnation,
                                  int aGateway,
                                  bool aExcused,
                                  TimeMs aNowMs)
{
  const auto found = servers_.find(aIncarnation);
  if (found == servers_.end()) {
    return {};
  }
  auto& server = found->second;
  const auto told = server.toldMs_.find(aGateway);
  if (aExcused || told == server.toldMs_.end() ||
      aNowMs < told->second + kToldSlackMs) {
    return {};
  }
  server.counted_.push_back(aNowMs);
  while (server.counted_.front() <= aNowMs - kWindowMs) {
    server.counted_.pop_front();
  }
  const auto allowed = Allowed(server, aNowMs);
  if (!allowed || aNowMs < server.firstNamedMs_ + kStableWindowMs ||
      static_cast<double>(server.counted_.size()) <= *allowed) {
    return {};
  }
  return Concat(aIncarnation,
                " got ",
                server.counted_.size(),
                " requests in 4 s from gateways that it had told a limit, ",
                *allowed,
                " allowed");
}

}
