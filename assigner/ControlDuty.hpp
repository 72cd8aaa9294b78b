#pragma once

#include "GroupHost.hpp"
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

/// Advances the control logic of all groups on one thread. The other duties
/// post what they learned and receive the actions.
class ControlDuty
{
public:
  using Work = std::function<void(GroupController&, TimeMs, Actions&)>;
  using Dispatch =
    std::function<void(const std::shared_ptr<GroupHost>&, const Action&)>;

  ControlDuty(const Clock& aClock, GroupOptions aTemplate);
  ~ControlDuty();
  ControlDuty(const ControlDuty&) = delete;
  ControlDuty& operator=(const ControlDuty&) = delete;

  /// aEvery runs on the control thread about every 100 ms.
  void Start(Dispatch aDispatch, std::function<void()> aEvery);
  void Stop();

  /// Queues work for the group, or for all when aService is empty. A full
  /// queue drops it; the protocol tolerates lost messages.
  void Post(std::string aService, Work aWork);
  /// Adds the group of a service; true when it is new.
  bool Ensure(const std::string& aService);
  std::shared_ptr<GroupHost> Find(const std::string& aService) const;
  std::vector<std::shared_ptr<GroupHost>> All() const;

  /// Waits until a table changed after aSeen or until the time is over; the
  /// number of changes so far.
  int64_t WaitChange(int64_t aSeen, TimeMs aTimeoutMs) const;
  int64_t Changes() const;
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
  void Deliver(const std::shared_ptr<GroupHost>& aHost,
               const Actions& aActions);

  const Clock& clock_;
  const GroupOptions template_;
  BoundedRing<Item> ring_;
  Dispatch dispatch_;
  std::function<void()> every_;
  mutable std::mutex mutex_;
  mutable std::condition_variable changed_;
  std::map<std::string, std::shared_ptr<GroupHost>> hosts_;
  int64_t changes_ = 0;
  std::thread thread_;
};

}
