#include "ControlLoop.hpp"

#include <chrono>

namespace cactuspitch {

namespace detail {
constexpr size_t kQueueCapacity = 8192;
constexpr TimeMs kStepMs = 20;
constexpr TimeMs kEveryMs = 100;
}

ControlLoop::ControlLoop(const Clock& aClock, GroupOptions aTemplate)
  : clock_(aClock)
  , template_(std::move(aTemplate))
  , ring_(detail::kQueueCapacity)
{
}

ControlLoop::~ControlLoop()
{
  Stop();
}

void ControlLoop::Start(Dispatch aDispatch, std::function<void()> aPeriodic)
{
  dispatch_ = std::move(aDispatch);
  periodic_ = std::move(aPeriodic);
  thread_ = std::thread([this] { Run(); });
}

void ControlLoop::Stop()
{
  ring_.Close();
  if (thread_.joinable()) {
    thread_.join();
  }
  changed_.notify_all();
}

void ControlLoop::Post(std::string aService, Work aWork)
{
  ring_.TryPush({ std::move(aService), std::move(aWork) });
}

bool ControlLoop::EnsureGroup(const std::string& aService)
{
  const std::lock_guard lock(mutex_);
  auto& group = groups_[aService];
  if (group) {
    return false;
  }
  auto options = template_;
  options.service_ = aService;
  group = std::make_shared<ManagedGroup>(std::move(options));
  return true;
}

std::shared_ptr<ManagedGroup> ControlLoop::Find(
  const std::string& aService) const
{
  const std::lock_guard lock(mutex_);
  const auto found = groups_.find(aService);
  return found == groups_.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<ManagedGroup>> ControlLoop::All() const
{
  const std::lock_guard lock(mutex_);
  std::vector<std::shared_ptr<ManagedGroup>> groups;
  for (const auto& [service, group] : groups_) {
    groups.push_back(group);
  }
  return groups;
}

void ControlLoop::Run()
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
      periodic_();
    }
    if (clock_.NowMs() - steppedMs >= detail::kStepMs) {
      steppedMs = clock_.NowMs();
      StepAll();
    }
  }
}

void ControlLoop::Apply(const Item& aItem)
{
  const auto groups =
    aItem.service_.empty() ? All() : std::vector{ Find(aItem.service_) };
  for (const auto& group : groups) {
    if (!group) {
      continue;
    }
    Actions actions;
    const auto now = clock_.NowMs();
    group->WithLock(
      [&](GroupController& aControl) { aItem.work_(aControl, now, actions); });
    if (group->Step(now, actions)) {
      NotifyChange();
    }
    Deliver(group, actions);
  }
}

void ControlLoop::StepAll()
{
  for (const auto& group : All()) {
    Actions actions;
    if (group->Step(clock_.NowMs(), actions)) {
      NotifyChange();
    }
    Deliver(group, actions);
  }
}

void ControlLoop::Deliver(const std::shared_ptr<ManagedGroup>& aGroup,
                          const Actions& aActions)
{
  for (const auto& action : aActions) {
    dispatch_(aGroup, action);
  }
}

int64_t ControlLoop::WaitForChange(int64_t aSeen, TimeMs aTimeoutMs) const
{
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, std::chrono::milliseconds(aTimeoutMs), [&] {
    return changeCount_ != aSeen || ring_.IsClosed();
  });
  return changeCount_;
}

int64_t ControlLoop::ChangeCount() const
{
  const std::lock_guard lock(mutex_);
  return changeCount_;
}

void ControlLoop::NotifyChange()
{
  {
    const std::lock_guard lock(mutex_);
    ++changeCount_;
  }
  changed_.notify_all();
}

}
