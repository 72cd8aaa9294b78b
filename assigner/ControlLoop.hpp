#pragma once

#include "ManagedGroup.hpp"
#include "common/BoundedRing.hpp"
#include "common/Clock.hpp"

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace cactuspitch {

/// Runs the controllers of all groups on one thread. Other components post
/// their inputs to it and receive the actions through a callback.
class ControlLoop
{
public:
  using Work = std::function<void(GroupController&, TimeMs, Actions&)>;
  using Dispatch =
    std::function<void(const std::shared_ptr<ManagedGroup>&, const Action&)>;

  ControlLoop(const Clock& aClock, GroupOptions aTemplate);
  ~ControlLoop();
  ControlLoop(const ControlLoop&) = delete;
  ControlLoop& operator=(const ControlLoop&) = delete;

  /// aPeriodic runs on the control thread about every 100 ms.
  void Start(Dispatch aDispatch, std::function<void()> aPeriodic);
  void Stop();

  /// Queues work for the group of a service, or for all groups when aService is
  /// empty. A full queue drops the work; the protocol tolerates lost messages.
  void Post(std::string aService, Work aWork);
  /// Adds the group of a service. Returns true when it is new.
  bool EnsureGroup(const std::string& aService);
  std::shared_ptr<ManagedGroup> Find(const std::string& aService) const;
  std::vector<std::shared_ptr<ManagedGroup>> All() const;

  /// Waits until the number of changes differs from aSeen or the timeout
  /// expires. Returns the number of changes so far.
  int64_t WaitForChange(int64_t aSeen, TimeMs aTimeoutMs) const;
  int64_t ChangeCount() const;
  void NotifyChange();

private:
  struct Item
  {
    std::string service_;
    Work work_;
  };

  void Run();
  void Apply(const Item& aItem);
  void StepAll();
  void Deliver(const std::shared_ptr<ManagedGroup>& aGroup,
               const Actions& aActions);

  const Clock& clock_;
  const GroupOptions template_;
  BoundedRing<Item> ring_;
  Dispatch dispatch_;
  std::function<void()> periodic_;
  mutable std::mutex mutex_;
  mutable std::condition_variable changed_;
  std::map<std::string, std::shared_ptr<ManagedGroup>> groups_;
  int64_t changeCount_ = 0;
  std::thread thread_;
};

}
