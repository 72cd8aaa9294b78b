#include "ControlDuty.hpp"

#include <chrono>

namespace cactuspitch {

namespace detail {
constexpr size_t kInputs = 8192;
constexpr TimeMs kStepMs = 20;
constexpr TimeMs kEveryMs = 100;
}

ControlDuty::ControlDuty(const Clock& aClock, GroupOptions aTemplate)
  : clock_(aClock)
  , template_(std::move(aTemplate))
  , ring_(detail::kInputs)
{
}

ControlDuty::~ControlDuty()
{
  Stop();
}

void ControlDuty::Start(Dispatch aDispatch, std::function<void()> aEvery)
{
  dispatch_ = std::move(aDispatch);
  every_ = std::move(aEvery);
  thread_ = std::thread([this] { Run(); });
}

void ControlDuty::Stop()
{
  ring_.Close();
  if (thread_.joinable()) {
    thread_.join();
  }
  changed_.notify_all();
}

void ControlDuty::Post(std::string aService, Work aWork)
{
  ring_.TryPush({ std::move(aService), std::move(aWork) });
}

bool ControlDuty::Ensure(const std::string& aService)
{
  const std::lock_guard lock(mutex_);
  auto& host = hosts_[aService];
  if (host) {
    return false;
  }
  auto options = template_;
  options.service_ = aService;
  host = std::make_shared<GroupHost>(std::move(options));
  return true;
}

std::shared_ptr<GroupHost> ControlDuty::Find(const std::string& aService) const
{
  const std::lock_guard lock(mutex_);
  const auto found = hosts_.find(aService);
  return found == hosts_.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<GroupHost>> ControlDuty::All() const
{
  const std::lock_guard lock(mutex_);
  std::vector<std::shared_ptr<GroupHost>> hosts;
  for (const auto& [service, host] : hosts_) {
    hosts.push_back(host);
  }
  return hosts;
}

void ControlDuty::Run()
{
  TimeMs steppedMs = 0;
  TimeMs everyMs = 0;
  while (!ring_.IsClosed()) {
    const auto waitMs =
      std::max<TimeMs>(0, steppedMs + detail::kStepMs - clock_.NowMs());
    auto item = ring_.Pop(std::chrono::milliseconds(waitMs));
    while (item) {
      Apply(*item);
      item = ring_.Pop(std::chrono::milliseconds(0));
    }
    if (clock_.NowMs() - everyMs >= detail::kEveryMs) {
      everyMs = clock_.NowMs();
      every_();
    }
    if (clock_.NowMs() - steppedMs >= detail::kStepMs) {
      steppedMs = clock_.NowMs();
      StepAll();
    }
  }
}

void ControlDuty::Apply(const Item& aItem)
{
  const auto hosts =
    aItem.service_.empty() ? All() : std::vector{ Find(aItem.service_) };
  for (const auto& host : hosts) {
    if (!host) {
      continue;
    }
    Actions actions;
    const auto now = clock_.NowMs();
    host->With(
      [&](GroupController& aControl) { aItem.work_(aControl, now, actions); });
    if (host->Step(now, actions)) {
      NotifyChange();
    }
    Deliver(host, actions);
  }
}

void ControlDuty::StepAll()
{
  for (const auto& host : All()) {
    Actions actions;
    if (host->Step(clock_.NowMs(), actions)) {
      NotifyChange();
    }
    Deliver(host, actions);
  }
}

void ControlDuty::Deliver(const std::shared_ptr<GroupHost>& aHost,
                          const Actions& aActions)
{
  for (const auto& action : aActions) {
    dispatch_(aHost, action);
  }
}

int64_t ControlDuty::WaitChange(int64_t aSeen, TimeMs aTimeoutMs) const
{
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, std::chrono::milliseconds(aTimeoutMs), [&] {
    return changes_ != aSeen || ring_.IsClosed();
  });
  return changes_;
}

int64_t ControlDuty::Changes() const
{
  const std::lock_guard lock(mutex_);
  return changes_;
}

void ControlDuty::NotifyChange()
{
  {
    const std::lock_guard lock(mutex_);
    ++changes_;
  }
  changed_.notify_all();
}

}
