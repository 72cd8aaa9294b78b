#include "OwnershipSimProcesses.hpp"

#include "common/Strings.hpp"

#include <algorithm>

namespace cactuspitch {

namespace detail {
constexpr TimeMs kTickMs = 10;
constexpr TimeMs kStoreTimeoutMs = 150;
constexpr int kFailureDomains = 3;

std::string FailureDomainOf(int aIndex)
{
  return Concat("domain-", aIndex % kFailureDomains);
}

int IndexOf(const std::string& aId)
{
  int index = 0;
  ParseNumber(std::string_view(aId).substr(aId.rfind('-') + 1), index);
  return index;
}
}

void OwnershipSim::StartInstance(Instance& aInstance)
{
  aInstance.alive_ = true;
  aInstance.control_ = std::make_unique<GroupController>(
    GroupOptions{ .instance_ = aInstance.id_,
                  .failureDomain_ = detail::FailureDomainOf(aInstance.index_),
                  .writer_ = Concat(aInstance.id_, "#", aInstance.incarnation_),
                  .service_ = "service",
                  .slices_ = options_.slices_ });
  UpdatePlatformLists(aInstance);
  TickInstance(aInstance, aInstance.incarnation_);
}

void OwnershipSim::TickInstance(Instance& aInstance, int aIncarnation)
{
  if (aInstance.incarnation_ != aIncarnation) {
    return;
  }
  if (aInstance.pausedUntilMs_ <= nowMs_) {
    constexpr TimeMs kStorePollMs = 200;
    constexpr TimeMs kPingMs = 250;
    constexpr TimeMs kListMs = 1000;
    const auto isDue = [this](TimeMs& aLastMs, TimeMs aIntervalMs) {
      const bool due = nowMs_ - aLastMs >= aIntervalMs;
      aLastMs = due ? nowMs_ : aLastMs;
      return due;
    };
    const bool watchHangs = storeDownUntilMs_ > nowMs_ &&
                            nowMs_ - storeDownSinceMs_ < aInstance.watchLeftMs_;
    if (!watchHangs && isDue(aInstance.polledMs_, kStorePollMs)) {
      PollStore(aInstance);
    }
    if (isDue(aInstance.pingedMs_, kPingMs)) {
      PingPeers(aInstance);
    }
    if (isDue(aInstance.listsUpdatedMs_, kListMs)) {
      UpdatePlatformLists(aInstance);
    }
    Advance(aInstance);
  }
  At(nowMs_ + detail::kTickMs, [this, &aInstance, aIncarnation] {
    TickInstance(aInstance, aIncarnation);
  });
}

void OwnershipSim::Advance(Instance& aInstance)
{
  Actions actions;
  aInstance.control_->Step(LocalMs(aInstance), actions);
  Perform(aInstance, actions);
}

void OwnershipSim::Perform(Instance& aInstance, const Actions& aActions)
{
  for (const auto& action : aActions) {
    if (const auto* command = std::get_if<GrantCommand>(&action)) {
      SendCommand(aInstance, *command);
    } else if (const auto* heartbeat = std::get_if<PeerHeartbeat>(&action)) {
      SendHeartbeat(aInstance, *heartbeat);
    } else if (const auto* write = std::get_if<WriteGroup>(&action)) {
      WriteStore(aInstance, *write);
    } else if (std::holds_alternative<ReadGroup>(action)) {
      PollStore(aInstance);
    }
  }
}

void OwnershipSim::SendCommand(Instance& aInstance,
                               const GrantCommand& aCommand)
{
  const auto server = static_cast<size_t>(detail::IndexOf(aCommand.server_));
  const int incarnation = aInstance.incarnation_;
  const int from = aInstance.index_;
  const int to = options_.instances_ + static_cast<int>(server);
  const auto respond = [=, this, &aInstance](const GrantReply& aReply) {
    Send(to, from, [=, this, &aInstance] {
      if (aInstance.incarnation_ == incarnation) {
        aInstance.control_->OnReply(LocalMs(aInstance), aReply);
        Advance(aInstance);
      }
    });
  };
  Send(
    from,
    to,
    [=, this] { respond(Execute(*servers_[server], aCommand)); },
    [=, this, &aInstance] {
      if (aInstance.incarnation_ == incarnation) {
        aInstance.control_->OnConnectionRefused(
          LocalMs(aInstance), aCommand.server_, aCommand.id_);
        Advance(aInstance);
      }
    });
}

GrantReply OwnershipSim::Execute(Server& aServer, const GrantCommand& aCommand)
{
  const auto incarnation = Concat(aServer.id_, "#", aServer.incarnation_);
  const bool isOld = std::tie(aCommand.term_, aCommand.sequence_) <
                     std::tie(aServer.term_, aServer.sequence_);
  const bool isReport = aCommand.incarnation_.empty();
  GrantReply reply;
  reply.accepted_ = !(aServer.checksFence_ && isOld) &&
                    (isReport || aCommand.incarnation_ == incarnation);
  if (reply.accepted_) {
    aServer.term_ = aCommand.term_;
    aServer.sequence_ = aCommand.sequence_;
  }
  if (reply.accepted_ && !isReport) {
    if (aCommand.full_) {
      aServer.held_ = aCommand.add_;
    }
    aServer.validUntilMs_ =
      std::max(aServer.validUntilMs_, aCommand.validUntilMs_);
  }
  reply.id_ = aCommand.id_;
  reply.server_ = aServer.id_;
  reply.incarnation_ = incarnation;
  reply.clockMs_ = LocalMs(aServer);
  reply.validUntilMs_ = aServer.validUntilMs_;
  reply.term_ = aServer.term_;
  reply.sequence_ = aServer.sequence_;
  reply.held_ = aServer.held_;
  reply.draining_ = aServer.draining_;
  return reply;
}

void OwnershipSim::SendHeartbeat(Instance& aInstance,
                                 const PeerHeartbeat& aHeartbeat)
{
  const int to = detail::IndexOf(aHeartbeat.to_);
  const int from = aInstance.index_;
  const int incarnation = aInstance.incarnation_;
  Send(from, to, [=, this, &aInstance] {
    auto& peer = *instances_[static_cast<size_t>(to)];
    const auto reply = peer.control_->OnHeartbeat(LocalMs(peer), aHeartbeat);
    Advance(peer);
    Send(to, from, [=, this, &aInstance] {
      if (aInstance.incarnation_ == incarnation) {
        aInstance.control_->OnHeartbeatReply(LocalMs(aInstance), reply);
        Advance(aInstance);
      }
    });
  });
}

void OwnershipSim::PingPeers(Instance& aInstance)
{
  const int from = aInstance.index_;
  const int incarnation = aInstance.incarnation_;
  for (const auto& name : aInstance.control_->PeersToProbe()) {
    auto& peer = *instances_[static_cast<size_t>(detail::IndexOf(name))];
    Send(
      from,
      peer.index_,
      [=, this, &aInstance, &peer] {
        const auto term = peer.control_->State().Table().term_;
        Send(peer.index_, from, [=, this, &aInstance, &peer] {
          if (aInstance.incarnation_ == incarnation) {
            aInstance.control_->OnPeerResponded(
              LocalMs(aInstance), peer.id_, term);
          }
        });
      },
      [=, this, &aInstance, &peer] {
        if (aInstance.incarnation_ == incarnation) {
          aInstance.control_->OnPeerExited(LocalMs(aInstance), peer.id_);
        }
      });
  }
}

void OwnershipSim::UpdatePlatformLists(Instance& aInstance)
{
  std::vector<CandidateRecord> candidates;
  for (const auto& instance : instances_) {
    candidates.push_back(
      { instance->id_, detail::FailureDomainOf(instance->index_) });
  }
  std::vector<BackendServerRecord> servers;
  for (const auto& server : servers_) {
    if (server->isListed_) {
      servers.push_back(
        { .id_ = server->id_,
          .address_ = server->id_,
          .failureDomain_ = detail::FailureDomainOf(server->index_),
          .checksFence_ = server->checksFence_,
          .draining_ = server->draining_ });
    }
  }
  aInstance.control_->SetCandidates(std::move(candidates));
  aInstance.control_->SetServers(std::move(servers));
}

void OwnershipSim::PollStore(Instance& aInstance)
{
  const int incarnation = aInstance.incarnation_;
  const bool fails = storeDownUntilMs_ > nowMs_ || IsCut(aInstance.index_, -1);
  const auto delayMs = fails ? detail::kStoreTimeoutMs : 1 + Random(4);
  const auto read = std::make_pair(version_, object_);
  At(nowMs_ + delayMs, [=, this, &aInstance] {
    RunAt(aInstance, [=, this, &aInstance] {
      if (aInstance.incarnation_ != incarnation) {
        return;
      }
      auto& control = *aInstance.control_;
      const auto localMs = LocalMs(aInstance);
      Actions actions;
      control.SetStoreReachable(localMs, !fails);
      if (!fails && read.first == 0) {
        control.OnObjectMissing(localMs, actions);
      } else if (!fails) {
        control.OnObject(localMs, read.first, read.second, actions);
      }
      Perform(aInstance, actions);
      Advance(aInstance);
    });
  });
}

void OwnershipSim::ApplyWrite(const WriteGroup& aWrite, WriteResult& aResult)
{
  if (aWrite.expectedVersion_ != version_) {
    aResult = WriteResult::Conflict;
    return;
  }
  aResult = WriteResult::Written;
  ++version_;
  object_ = aWrite.object_;
  const auto& table = object_.table_;
  for (const auto key : keys_) {
    const auto& slice = table.FindSlice(key);
    const auto* owner = table.Server(slice.owner_);
    history_.assignments_.push_back(
      { key, slice.epoch_, owner == nullptr ? "" : owner->id_, nowMs_ });
  }
  for (auto& instance : instances_) {
    const bool watches =
      instance->alive_ && instance->control_ && !IsCut(instance->index_, -1);
    if (watches) {
      PollStore(*instance);
    }
  }
}

void OwnershipSim::WriteStore(Instance& aInstance, const WriteGroup& aWrite)
{
  const int incarnation = aInstance.incarnation_;
  const auto reply = [=, this, &aInstance](
                       TimeMs aDelayMs, WriteResult aResult, int64_t aVersion) {
    At(nowMs_ + aDelayMs, [=, this, &aInstance] {
      RunAt(aInstance, [=, this, &aInstance] {
        if (aInstance.incarnation_ != incarnation) {
          return;
        }
        Actions actions;
        if (aResult == WriteResult::NotSent) {
          aInstance.control_->SetStoreReachable(LocalMs(aInstance), false);
        }
        aInstance.control_->OnWriteResult(LocalMs(aInstance),
                                          aWrite.object_.change_,
                                          aResult,
                                          aVersion,
                                          actions);
        Perform(aInstance, actions);
        Advance(aInstance);
      });
    });
  };
  if (storeDownUntilMs_ > nowMs_ || IsCut(aInstance.index_, -1)) {
    reply(storeDrops_ ? detail::kStoreTimeoutMs : 2,
          storeDrops_ ? WriteResult::Unknown : WriteResult::NotSent,
          0);
    return;
  }
  const bool loses = storeLossUntilMs_ > nowMs_;
  if (loses && Chance(20)) {
    reply(detail::kStoreTimeoutMs, WriteResult::Unknown, 0);
    return;
  }
  const bool late = loses && Chance(30);
  const bool responseLost = late || (loses && Chance(40));
  if (responseLost) {
    reply(detail::kStoreTimeoutMs, WriteResult::Unknown, 0);
  }
  At(nowMs_ + 1 + Random(late ? 1500 : 4), [=, this] {
    WriteResult result{};
    ApplyWrite(aWrite, result);
    if (!responseLost) {
      reply(1 + Random(3), result, version_);
    }
  });
}

void OwnershipSim::TickRouter(Router& aRouter)
{
  if (aRouter.pausedUntilMs_ <= nowMs_) {
    constexpr TimeMs kPollMs = 100;
    if (nowMs_ - aRouter.polledMs_ >= kPollMs) {
      aRouter.polledMs_ = nowMs_;
      PollTable(aRouter);
    }
    const auto localMs = LocalMs(aRouter);
    for (const auto key : keys_) {
      if (localMs >= aRouter.leaseUntilMs_ || aRouter.table_.slices_.empty()) {
        break;
      }
      const auto& slice = aRouter.table_.FindSlice(key);
      const auto* owner = aRouter.table_.Server(slice.owner_);
      if (owner == nullptr || owner->checksFence_) {
        continue;
      }
      // The server took the clock stamp up to 20 ms before the response with
      // the stamp arrived.
      const int index = detail::IndexOf(owner->id_);
      const auto stampMs =
        LocalMsAt(*servers_[static_cast<size_t>(index)], nowMs_ - Random(20));
      const auto leftMs = (aRouter.leaseUntilMs_ - localMs) * 99 / 100;
      auto& sent = aRouter.sent_[{ key, index }];
      sent = { slice.epoch_, std::max(sent.second, stampMs + leftMs) };
    }
  }
  At(nowMs_ + 20, [this, &aRouter] { TickRouter(aRouter); });
}

void OwnershipSim::PollTable(Router& aRouter)
{
  const auto& assigner = aRouter.table_.assigner_;
  const bool guesses = assigner.empty() || Chance(30);
  const int to = guesses ? static_cast<int>(Random(options_.instances_))
                         : detail::IndexOf(assigner);
  const int from = aRouter.index_;
  const auto askedMs = LocalMs(aRouter);
  Send(from, to, [=, this, &aRouter] {
    auto& instance = *instances_[static_cast<size_t>(to)];
    const auto leaseMs =
      instance.control_->GrantViewLease(LocalMs(instance), aRouter.id_);
    const auto table = instance.control_->Table();
    Send(to, from, [=, &aRouter] {
      if (aRouter.table_.IsNewerThan(table) || table.slices_.empty()) {
        return;
      }
      aRouter.table_ = table;
      if (leaseMs > 0) {
        aRouter.leaseUntilMs_ =
          std::max(aRouter.leaseUntilMs_, askedMs + leaseMs);
      }
    });
  });
}

}
