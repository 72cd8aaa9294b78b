#include "OrderScheduler.hpp"

#include <algorithm>
#include <utility>

namespace cactuspitch {

void OrderScheduler::Step(TimeMs aNowMs, Actions& aActions)
{
  const auto changed = std::exchange(changed_, {});
  for (int32_t i = 0; i < static_cast<int32_t>(state_.leases_.size()); ++i) {
    const auto& lease = state_.Lease(i);
    const bool extends = MayExtend(i, aNowMs);
    const bool isChanged =
      extends && std::ranges::find(changed, i) != changed.end();
    const auto lastMs = extends ? lease.SetSentMs() : lease.SentMs();
    const bool due = aNowMs - lastMs >= IntervalMs(i, extends);
    if (!isChanged && (!due || lease.IsAwaiting(aNowMs))) {
      continue;
    }
    if (extends) {
      SendSet(i, aNowMs, aActions);
    } else {
      SendReport(i, aNowMs, aActions);
    }
  }
}

void OrderScheduler::StepAsDeputy(const DeputyRole& aRole,
                                  TimeMs aNowMs,
                                  Actions& aActions)
{
  for (int32_t i = 0; i < static_cast<int32_t>(state_.leases_.size()); ++i) {
    auto& lease = state_.Lease(i);
    if (aNowMs - lease.SentMs() < timing::kRenewMs ||
        aRole.HasStopped(state_.Server(i).id_)) {
      continue;
    }
    if (lease.IsSilent(aNowMs) || !lease.IsFenced()) {
      SendReport(i, aNowMs, aActions);
      continue;
    }
    auto order = Address(i);
    // The sequence that the server holds, so that a later order of the
    // assigner is never refused because of this one.
    order.sequence_ = lease.ReportedSequence();
    order.incarnation_ = lease.Incarnation();
    order.validUntilMs_ = lease.Extend();
    lease.NoteSent(order.id_, 0, aNowMs);
    aActions.emplace_back(std::move(order));
  }
}

bool OrderScheduler::MayExtend(int32_t aServer, TimeMs aNowMs) const
{
  const auto& lease = state_.Lease(aServer);
  if (!state_.authority_.IsValid(aNowMs) || !lease.IsFenced() ||
      lease.IsSilent(aNowMs)) {
    return false;
  }
  return aNowMs - state_.termBeganMs_ > timing::kResolveGraceMs ||
         !recovery_.IsNeeded(aServer);
}

TimeMs OrderScheduler::IntervalMs(int32_t aServer, bool aExtends) const
{
  const bool learns =
    !state_.Lease(aServer).IsFenced() || recovery_.IsNeeded(aServer);
  return !aExtends && learns ? timing::kReportMs : timing::kRenewMs;
}

ServerOrder OrderScheduler::Address(int32_t aServer)
{
  const auto& server = state_.Server(aServer);
  ServerOrder order;
  order.id_ = ++orderId_;
  order.server_ = server.id_;
  order.address_ = server.address_;
  order.term_ = state_.Table().term_;
  return order;
}

std::vector<HeldRange> OrderScheduler::SetOf(int32_t aServer) const
{
  std::vector<HeldRange> set;
  for (const auto& slice : state_.book_.Slices()) {
    if (slice.Holder() != aServer || !slice.IsHeld()) {
      continue;
    }
    const bool extendsLast = !set.empty() &&
                             set.back().end_ + 1 == slice.record_.begin_ &&
                             set.back().epoch_ == slice.HolderEpoch();
    if (extendsLast) {
      set.back().end_ = slice.end_;
    } else {
      set.push_back({ slice.record_.begin_, slice.end_, slice.HolderEpoch() });
    }
  }
  return set;
}

void OrderScheduler::SendReport(int32_t aServer,
                                TimeMs aNowMs,
                                Actions& aActions)
{
  auto order = Address(aServer);
  state_.Lease(aServer).NoteSent(order.id_, 0, aNowMs);
  aActions.emplace_back(std::move(order));
}

void OrderScheduler::SendSet(int32_t aServer, TimeMs aNowMs, Actions& aActions)
{
  auto& lease = state_.Lease(aServer);
  auto order = Address(aServer);
  order.sequence_ = ++state_.orderSequence_;
  order.incarnation_ = lease.Incarnation();
  order.validUntilMs_ = lease.Extend();
  order.full_ = true;
  order.add_ = SetOf(aServer);
  for (auto& slice : state_.book_.Slices()) {
    if (slice.Holder() != aServer) {
      continue;
    }
    if (slice.releasing_ && slice.revokeSequence_ == 0) {
      slice.revokeSequence_ = order.sequence_;
    }
    if (slice.IsHeld()) {
      if (slice.grantSequence_ == 0) {
        slice.grantSequence_ = order.sequence_;
      }
      slice.incarnation_ = lease.Incarnation();
    }
  }
  lease.NoteSent(order.id_, order.sequence_, aNowMs);
  aActions.emplace_back(std::move(order));
}

}
