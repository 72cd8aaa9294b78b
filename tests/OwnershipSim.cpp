#include "OwnershipSim.hpp"

#include "OwnershipSimProcesses.hpp"
#include "common/Strings.hpp"

#include <algorithm>

namespace cactuspitch {

std::ostream& operator<<(std::ostream& aStream, const SimFault& aFault)
{
  return aStream << EnumName(aFault.kind_) << "(" << aFault.target_ << ", "
                 << aFault.other_ << ") at " << aFault.atMs_ << " for "
                 << aFault.durationMs_;
}

OwnershipSim::OwnershipSim(SimOptions aOptions)
  : options_(aOptions)
  , random_(aOptions.seed_)
{
  const auto add = [this](Process& aProcess, std::string aId) {
    constexpr int kMaxDeviation =
      49; // in 1/10,000, so any two clocks differ by < 1%
    aProcess.index_ = static_cast<int>(processes_.size());
    aProcess.id_ = std::move(aId);
    aProcess.rate_ =
      1 + static_cast<double>(Random(2 * kMaxDeviation + 1) - kMaxDeviation) /
            10000;
    aProcess.offsetMs_ = 1000 + Random(100000);
    processes_.push_back(&aProcess);
  };
  for (int i = 0; i < options_.instances_; ++i) {
    add(*instances_.emplace_back(std::make_unique<Instance>()),
        Concat("instance-", i));
  }
  for (int i = 0; i < options_.servers_; ++i) {
    auto& server = *servers_.emplace_back(std::make_unique<Server>());
    add(server, Concat("server-", i));
    server.checksFence_ = i >= options_.unchecked_;
    server.isListed_ = i + 1 < options_.servers_;
  }
  for (int i = 0; i < options_.routers_; ++i) {
    add(*routers_.emplace_back(std::make_unique<Router>()),
        Concat("router-", i));
  }
  for (size_t i = 0; i < options_.slices_; ++i) {
    keys_.push_back(UINT64_MAX / options_.slices_ * i + 12345);
  }
  for (auto& instance : instances_) {
    instance->alive_ = false;
    At(Random(50), [this, &instance] { StartInstance(*instance); });
  }
  for (auto& router : routers_) {
    At(Random(50), [this, &router] { TickRouter(*router); });
  }
}

OwnershipSim::~OwnershipSim() = default;

TimeMs OwnershipSim::Random(TimeMs aBelow)
{
  return static_cast<TimeMs>(random_() % static_cast<uint64_t>(aBelow));
}

void OwnershipSim::At(TimeMs aTrueMs, Callback aCallback)
{
  events_.push(
    { std::max(aTrueMs, nowMs_), ++eventOrder_, std::move(aCallback) });
}

void OwnershipSim::RunUntil(TimeMs aTrueMs)
{
  while (!events_.empty() && events_.top().atMs_ <= aTrueMs) {
    auto event = events_.top();
    events_.pop();
    nowMs_ = event.atMs_;
    // Close ownership intervals that ended since the last event before this
    // event can start new ones.
    Sample();
    event.run_();
    Sample();
  }
  nowMs_ = aTrueMs;
}

TimeMs OwnershipSim::LocalMsAt(const Process& aProcess, TimeMs aTrueMs) const
{
  return aProcess.offsetMs_ +
         static_cast<TimeMs>(static_cast<double>(aTrueMs) * aProcess.rate_);
}

TimeMs OwnershipSim::LocalMs(const Process& aProcess) const
{
  return LocalMsAt(aProcess, nowMs_);
}

bool OwnershipSim::IsCut(int aFrom, int aTo) const
{
  const auto cut = cutUntilMs_.find({ aFrom, aTo });
  return cut != cutUntilMs_.end() && cut->second > nowMs_;
}

void OwnershipSim::Send(int aFrom,
                        int aTo,
                        const Callback& aCallback,
                        const Callback& aRefused)
{
  const bool bad = badNetworkUntilMs_ > nowMs_;
  if (IsCut(aFrom, aTo) || (bad && Chance(20))) {
    return;
  }
  const auto delayMs = 1 + Random(4) + (bad && Chance(30) ? Random(1500) : 0);
  const int incarnation = processes_[static_cast<size_t>(aTo)]->incarnation_;
  const bool isServer = aTo >= options_.instances_;
  At(nowMs_ + delayMs, [=, this] {
    auto& to = *processes_[static_cast<size_t>(aTo)];
    // A connection to an instance ends with the instance's process. A request
    // to a backend server may connect only after the server has restarted.
    if (to.alive_ && (isServer || to.incarnation_ == incarnation)) {
      RunAt(to, aCallback);
    } else if (aRefused) {
      Send(aTo, aFrom, aRefused);
    }
  });
}

void OwnershipSim::RunAt(Process& aProcess, Callback aCallback)
{
  if (!aProcess.alive_) {
    return;
  }
  if (aProcess.pausedUntilMs_ > nowMs_) {
    aProcess.backlog_.push_back(std::move(aCallback));
    return;
  }
  aCallback();
}

void OwnershipSim::Kill(Process& aProcess)
{
  aProcess.alive_ = false;
  aProcess.pausedUntilMs_ = 0;
  aProcess.backlog_.clear();
  ++aProcess.incarnation_;
}

void OwnershipSim::Pause(Process& aProcess, TimeMs aDurationMs)
{
  aProcess.pausedUntilMs_ = nowMs_ + aDurationMs;
  const int incarnation = aProcess.incarnation_;
  At(nowMs_ + aDurationMs, [this, &aProcess, incarnation] {
    if (aProcess.incarnation_ == incarnation &&
        aProcess.pausedUntilMs_ <= nowMs_) {
      const auto backlog = std::exchange(aProcess.backlog_, {});
      std::ranges::for_each(backlog,
                            [](const Callback& aCallback) { aCallback(); });
    }
  });
}

OwnershipSim::Instance* OwnershipSim::Assigner()
{
  Instance* newest = nullptr;
  for (auto& instance : instances_) {
    if (instance->alive_ && instance->control_ &&
        instance->control_->Role() == GroupRole::Assigner &&
        (newest == nullptr ||
         instance->control_->Table().term_ > newest->control_->Table().term_)) {
      newest = instance.get();
    }
  }
  return newest;
}

std::set<std::pair<int, Epoch>> OwnershipSim::OwnersOf(KeyHash aKey) const
{
  std::set<std::pair<int, Epoch>> owners;
  for (size_t i = 0; i < servers_.size(); ++i) {
    const auto& server = *servers_[i];
    const auto clockMs = LocalMs(server);
    if (server.checksFence_ && server.alive_ &&
        clockMs < server.validUntilMs_) {
      for (const auto& range : server.held_) {
        if (range.begin_ <= aKey && aKey <= range.end_) {
          owners.insert({ static_cast<int>(i), range.epoch_ });
        }
      }
    }
    // A server that doesn't check the fence executes requests from routers
    // until their deadline, even if its process restarted meanwhile. It knows
    // no epochs, so count it under the newest epoch that any router uses for
    // it, although other routers may still send it requests under an older
    // epoch.
    Epoch routed = 0;
    for (const auto& router : routers_) {
      const auto sent = router->sent_.find({ aKey, static_cast<int>(i) });
      if (!server.checksFence_ && sent != router->sent_.end() &&
          clockMs < sent->second.second) {
        routed = std::max(routed, sent->second.first);
      }
    }
    if (routed > 0) {
      owners.insert({ static_cast<int>(i), routed });
    }
  }
  return owners;
}

void OwnershipSim::Sample()
{
  std::set<std::tuple<KeyHash, int, std::string, Epoch>> now;
  for (const auto key : keys_) {
    const auto owners = OwnersOf(key);
    for (const auto& [index, epoch] : owners) {
      const auto& server = *servers_[static_cast<size_t>(index)];
      now.insert({ key,
                   index,
                   server.checksFence_ ? Concat(server.incarnation_)
                                       : std::string("any"),
                   epoch });
    }
    auto& served = lastServedMs_.try_emplace(key, -1).first->second;
    if (!owners.empty()) {
      if (served >= 0 && nowMs_ - served > 1) {
        gaps_[key].emplace_back(served, nowMs_);
      }
      served = nowMs_;
    }
  }
  std::erase_if(openOwners_, [&](const auto& aOpen) {
    if (now.contains(aOpen.first)) {
      return false;
    }
    const auto& [key, index, incarnation, epoch] = aOpen.first;
    history_.owners_.push_back({ Concat("server-", index),
                                 incarnation,
                                 key,
                                 epoch,
                                 aOpen.second,
                                 nowMs_ });
    return true;
  });
  for (const auto& owner : now) {
    openOwners_.try_emplace(owner, nowMs_);
  }
}

const History& OwnershipSim::Finish()
{
  for (const auto& [owner, startMs] : std::exchange(openOwners_, {})) {
    const auto& [key, index, incarnation, epoch] = owner;
    history_.owners_.push_back(
      { Concat("server-", index), incarnation, key, epoch, startMs, nowMs_ });
  }
  return history_;
}

std::vector<KeyHash> OwnershipSim::Unserved() const
{
  std::vector<KeyHash> unserved;
  std::ranges::copy_if(keys_,
                       std::back_inserter(unserved),
                       [this](KeyHash aKey) { return OwnersOf(aKey).empty(); });
  return unserved;
}

TimeMs OwnershipSim::LongestGapMs(TimeMs aFromMs) const
{
  TimeMs longest = 0;
  for (const auto key : keys_) {
    const auto found = gaps_.find(key);
    for (const auto& [from, to] :
         found == gaps_.end() ? decltype(found->second)() : found->second) {
      longest = std::max(longest, to - std::max(from, aFromMs));
    }
    const auto served = lastServedMs_.find(key);
    if (served != lastServedMs_.end()) {
      longest = std::max(longest, nowMs_ - std::max(served->second, aFromMs));
    }
  }
  return longest;
}

std::string OwnershipSim::Describe() const
{
  std::string text = Concat("time ",
                            nowMs_,
                            ", store version ",
                            version_,
                            " term ",
                            object_.table_.term_,
                            "\n");
  for (const auto& instance : instances_) {
    if (!instance->control_) {
      continue;
    }
    const auto& control = *instance->control_;
    AppendTo(text,
             instance->id_,
             " ",
             EnumName(control.Role()),
             " term ",
             control.State().Table().term_,
             "\n");
    if (control.Role() != GroupRole::Assigner) {
      continue;
    }
    for (const auto& slice : control.State().sliceStates_.Slices()) {
      AppendTo(text,
               "  ",
               slice.record_.begin_,
               " owner ",
               slice.record_.owner_,
               " standby ",
               slice.record_.standby_,
               " epoch ",
               slice.record_.epoch_,
               " promoted ",
               slice.promoted_,
               " resolved ",
               slice.resolved_,
               " ambiguous ",
               slice.ambiguous_,
               " releasing ",
               slice.releasing_,
               " blocked ",
               slice.blocked_,
               "\n");
    }
  }
  return text;
}

}
