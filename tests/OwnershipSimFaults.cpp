#include "OwnershipSimProcesses.hpp"
#include "common/Strings.hpp"

#include <algorithm>

namespace cactuspitch {

void OwnershipSim::Inject(const SimFault& aFault)
{
  const auto pick = [](auto& aList, int aIndex) -> auto&
  {
    return *aList[static_cast<size_t>(aIndex) % aList.size()];
  };
  auto& server = pick(servers_, aFault.target_);
  auto& instance = pick(instances_, aFault.target_);
  auto& router = pick(routers_, aFault.target_);
  // A link between any instance and any instance or server.
  const int left = instance.index_;
  const int right = aFault.other_ % (options_.instances_ + options_.servers_);
  const auto durationMs = aFault.durationMs_;
  const auto until = aFault.atMs_ + durationMs;
  const auto restart = [this, until](Instance& aInstance) {
    Kill(aInstance);
    At(until, [this, &aInstance] { StartInstance(aInstance); });
  };
  At(aFault.atMs_, [=, this, &server, &instance, &router] {
    auto* assigner = Assigner();
    switch (aFault.kind_) {
      case SimFaultKind::KillServer:
        Kill(server);
        server.held_.clear();
        server.term_ = server.sequence_ = server.validUntilMs_ = 0;
        At(until, [&server] { server.alive_ = true; });
        break;
      case SimFaultKind::PauseServer:
        Pause(server, durationMs);
        break;
      case SimFaultKind::KillInstance:
        restart(instance);
        break;
      case SimFaultKind::PauseInstance:
        Pause(instance, durationMs);
        break;
      case SimFaultKind::StopInstance:
        if (instance.control_) {
          instance.control_->BeginHandover();
          At(nowMs_ + std::min<TimeMs>(durationMs, 500),
             [restart, &instance] { restart(instance); });
        }
        break;
      case SimFaultKind::PauseRouter:
        Pause(router, durationMs);
        break;
      case SimFaultKind::Cut:
        cutUntilMs_[{ left, right }] = cutUntilMs_[{ right, left }] = until;
        break;
      case SimFaultKind::CutOneWay:
        cutUntilMs_[aFault.target_ % 2 == 0 ? std::pair(left, right)
                                            : std::pair(right, left)] = until;
        break;
      case SimFaultKind::CutFromStore:
        cutUntilMs_[{ left, -1 }] = until;
        break;
      case SimFaultKind::StoreDown:
        storeDrops_ = aFault.target_ % 2 == 0;
        storeDownUntilMs_ = until;
        storeDownSinceMs_ = nowMs_;
        for (auto& watcher : instances_) {
          watcher->watchLeftMs_ =
            storeDrops_ ? Random(options_.storeWatchMs_ + 1) : 0;
        }
        break;
      case SimFaultKind::StoreLosesAnswers:
        storeLossUntilMs_ = until;
        break;
      case SimFaultKind::BadNetwork:
        badNetworkUntilMs_ = until;
        break;
      case SimFaultKind::DrainServer:
        server.draining_ = true;
        break;
      case SimFaultKind::JoinServer:
        servers_.back()->isListed_ = true;
        break;
      case SimFaultKind::MoveSlice:
        if (assigner != nullptr) {
          assigner->control_->MoveSlice(
            keys_[static_cast<size_t>(aFault.other_) % keys_.size()],
            server.id_,
            "test");
        }
        break;
      case SimFaultKind::SplitAndMerge: {
        const auto key =
          keys_[static_cast<size_t>(aFault.other_) % keys_.size()];
        if (assigner != nullptr) {
          assigner->control_->RequestSplit(key);
        }
        At(until, [this, key] {
          if (auto* later = Assigner(); later != nullptr) {
            later->control_->RequestMerge(key);
            later->control_->RequestMerge(key + 1);
          }
        });
        break;
      }
      default:
        break;
    }
  });
}

}
