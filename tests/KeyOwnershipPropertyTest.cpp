#include "keyspace/KeyOwnership.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cactuspitch {
namespace {

constexpr TimeMs kStepMs = 50;
constexpr uint32_t kWatchedKeys = 16; ///< keys 0, 4096, 8192, ...

/// Backend server that obeys the grant protocol with a clock 2% slow.
struct ModelServer
{
  bool up_ = true;
  int64_t born_ = 1;
  std::map<uint32_t, std::pair<int64_t, TimeMs>> held_; ///< fence, end
  std::map<uint32_t, int64_t> seen_;

  bool Holds(uint32_t aKey, TimeMs aNowMs) const
  {
    const auto found = held_.find(aKey);
    return up_ && found != held_.end() && found->second.second > aNowMs;
  }
};

/// Order that a server carries out later than it arrived.
struct LateOrder
{
  KeyCommand order_;
  TimeMs arrivedMs_;
  TimeMs carriedOutMs_;
};

/// A leader, servers and late orders on virtual time, with random faults.
class OwnershipWorld
{
public:
  explicit OwnershipWorld(int aServers)
  {
    for (int index = 0; index < aServers; ++index) {
      servers_["s" + std::to_string(index)];
    }
    Elect();
  }

  void Step()
  {
    nowMs_ += kStepMs;
    std::map<std::string, OwnerCandidate> candidates;
    for (const auto& [id, server] : servers_) {
      if (!unregistered_.contains(id)) {
        candidates[id] = { server.born_, true, 1 };
      }
    }
    leader_->SetCandidates(candidates, nowMs_);
    CarryOutLate();
    const bool storeUp =
      !*rc::gen::weightedElement<bool>({ { 1, true }, { 9, false } });
    if (storeUp) {
      if (const auto change =
            leader_->Propose([this] { return ++fence_; },
                             [](const KeyOwnership& aOwnership) {
                               return RandomMoves(aOwnership);
                             },
                             nowMs_)) {
        leader_->Commit(*change, nowMs_);
        stored_ = *change;
      }
    }
    for (const auto& order : leader_->TakeCommands(nowMs_)) {
      Deliver(*leader_, order);
    }
    RunEarlierLeaders();
    RandomFault();
    Check();
  }

private:
  static std::vector<KeyOwnership::Move> RandomMoves(
    const KeyOwnership& aOwnership)
  {
    if (*rc::gen::inRange(0, 6) != 0 || aOwnership.Candidates().empty()) {
      return {};
    }
    const auto& segments = aOwnership.Segments();
    const auto index = *rc::gen::inRange<size_t>(0, segments.size());
    const auto target =
      std::next(aOwnership.Candidates().begin(),
                *rc::gen::inRange<long>(
                  0, static_cast<long>(aOwnership.Candidates().size())))
        ->first;
    if (!aOwnership.IsStable(index)) {
      return {};
    }
    const auto& segment = segments[index];
    const auto middle = segment.first_ + (segment.last_ - segment.first_) / 2;
    return { { segment.first_, middle, target } };
  }

  /// The earlier leader ends with the election, or goes on for as long as its
  /// right lasts: its last renewal was confirmed before.
  void Elect()
  {
    if (leader_ != nullptr && *rc::gen::inRange(0, 2) == 0) {
      earlier_.push_back({ std::move(leader_),
                           nowMs_ + *rc::gen::inRange<TimeMs>(0, 8001),
                           servers_ });
    }
    // The number of servers decides on the grants of a leader.
    auto timing = LeaseTiming::For(*rc::gen::inRange<size_t>(0, 2) * 200, 9000);
    storedHoldMs_ = std::max(storedHoldMs_, timing.leaseMs_);
    timing.maxEarlierLeaseMs_ = storedHoldMs_;
    leader_ = std::make_unique<KeyOwnership>("s", timing);
    fence_ = (++term_) << 24;
    if (!stored_.empty()) {
      leader_->Adopt(
        stored_, [this] { return ++fence_; }, nowMs_);
      stored_ = leader_->Segments();
      TellEnded();
    }
  }

  void TellEnded()
  {
    if (earlier_.empty()) {
      leader_->OnEarlierLeadersEnded(nowMs_);
    }
  }

  /// The store takes no writes of theirs; they go on with what they know.
  void RunEarlierLeaders()
  {
    for (auto& earlier : earlier_) {
      if (nowMs_ < earlier.rightUntilMs_) {
        for (const auto& order :
             earlier.ownership_->TakeCommands(nowMs_, GrantScope::Renewals)) {
          // They use kept connections only, which end with a server's life.
          const auto& before = earlier.servers_.at(order.backend_);
          if (before.up_ && before.born_ == servers_.at(order.backend_).born_) {
            Deliver(*earlier.ownership_, order);
          } else {
            earlier.ownership_->OnCommandDone(
              order, KeyCommandResult::NotSent, "", nowMs_);
          }
        }
      }
    }
    const bool hadEarlier = !earlier_.empty();
    std::erase_if(earlier_, [&](const EarlierLeader& aEarlier) {
      return aEarlier.rightUntilMs_ <= nowMs_;
    });
    // Sometimes their end becomes known.
    if (hadEarlier && *rc::gen::inRange(0, 2) == 0) {
      TellEnded();
    }
  }

  void Deliver(KeyOwnership& aLeader, const KeyCommand& aOrder)
  {
    auto& server = servers_[aOrder.backend_];
    const int fate = *rc::gen::inRange(0, 10);
    std::string handover;
    if (!server.up_ || fate == 0) {
      aLeader.OnCommandDone(aOrder, KeyCommandResult::NotSent, "", nowMs_);
    } else if (fate == 1) {
      late_.push_back(
        { aOrder, nowMs_, nowMs_ + *rc::gen::inRange<TimeMs>(0, 6000) });
      aLeader.OnCommandDone(aOrder, KeyCommandResult::Unanswered, "", nowMs_);
    } else {
      aLeader.OnCommandDone(
        aOrder, CarryOut(server, aOrder, nowMs_), "", nowMs_);
    }
  }

  static KeyCommandResult CarryOut(ModelServer& aServer,
                                   const KeyCommand& aOrder,
                                   TimeMs aArrivedMs)
  {
    std::vector<uint32_t> keys;
    for (uint32_t index = 0; index < kWatchedKeys; ++index) {
      const auto key = index * (kKeyCount / kWatchedKeys);
      if (aOrder.first_ <= key && key <= aOrder.last_) {
        keys.push_back(key);
      }
    }
    if (aOrder.kind_ == KeyCommandKind::Release) {
      std::ranges::for_each(keys,
                            [&](uint32_t aKey) { aServer.held_.erase(aKey); });
      return KeyCommandResult::Accepted;
    }
    if (std::ranges::any_of(keys, [&](uint32_t aKey) {
          return aServer.seen_[aKey] > aOrder.fence_;
        })) {
      return KeyCommandResult::OlderFence;
    }
    for (const auto key : keys) {
      aServer.seen_[key] = aOrder.fence_;
      auto& held = aServer.held_[key];
      held = { aOrder.fence_,
               std::max(held.first == aOrder.fence_ ? held.second : 0,
                        aArrivedMs + aOrder.leaseMs_ * 102 / 100) };
    }
    return KeyCommandResult::Accepted;
  }

  void CarryOutLate()
  {
    std::erase_if(late_, [&](const LateOrder& aLate) {
      if (aLate.carriedOutMs_ > nowMs_) {
        return false;
      }
      auto& server = servers_[aLate.order_.backend_];
      if (server.up_) {
        CarryOut(server, aLate.order_, aLate.arrivedMs_);
      }
      return true;
    });
  }

  void RandomFault()
  {
    const int fault = *rc::gen::inRange(0, 60);
    const auto chosen =
      std::next(servers_.begin(),
                *rc::gen::inRange<long>(0, static_cast<long>(servers_.size())));
    auto& server = chosen->second;
    if (fault == 0) {
      Elect();
    } else if (fault == 1) {
      server.up_ = false;
      server.held_.clear();
      server.seen_.clear();
      std::erase_if(late_, [&](const LateOrder& aLate) {
        return aLate.order_.backend_ == chosen->first;
      });
    } else if (fault < 5 && !server.up_) {
      server.up_ = true;
      ++server.born_;
      unregistered_.erase(chosen->first);
    } else if (fault == 5 && unregistered_.size() + 1 < servers_.size()) {
      unregistered_.insert(chosen->first);
    } else if (fault == 6) {
      unregistered_.clear();
    }
  }

  void Check() const
  {
    for (uint32_t index = 0; index < kWatchedKeys; ++index) {
      const auto key = index * (kKeyCount / kWatchedKeys);
      const auto holders =
        std::ranges::count_if(servers_, [&](const auto& aEntry) {
          return aEntry.second.Holds(key, nowMs_);
        });
      RC_ASSERT(holders <= 1);
    }
  }

  TimeMs nowMs_ = 1000;
  int64_t term_ = 0;
  int64_t fence_ = 0;
  std::map<std::string, ModelServer> servers_;
  std::set<std::string> unregistered_;
  std::vector<LateOrder> late_;
  struct EarlierLeader
  {
    std::unique_ptr<KeyOwnership> ownership_;
    TimeMs rightUntilMs_;
    std::map<std::string, ModelServer> servers_; ///< when it was replaced
  };

  std::unique_ptr<KeyOwnership> leader_;
  std::vector<EarlierLeader> earlier_;
  TimeMs storedHoldMs_ = 0;
  KeySegments stored_;
};

// Guards against two servers that hold the same key at one moment, whatever
// orders are lost or carried out late, and whoever crashes, restarts under its
// old id, leaves, or takes the lead.
RC_GTEST_PROP(KeyOwnershipProperty, OneHolderForEachKey, ())
{
  OwnershipWorld world(*rc::gen::inRange(2, 5));
  const int steps = *rc::gen::inRange(20, 300);
  for (int step = 0; step < steps; ++step) {
    world.Step();
  }
}

}
}
