#include "GrantScheduler.hpp"

#include <algorithm>
#include <utility>

namespace cactuspitch {

void GrantScheduler::Step(TimeMs aNowMs, Actions& aActions)
{
  const auto changed = std::exchange(changedServers_, {});
  for (int32_t i = 0; i < static_cast<int32_t>(state_.leases_.size()); ++i) {
    const auto& lease = state_.Lease(i);
    const bool renews = MayRenew(i, aNowMs);
    const bool isChanged =
      renews && std::ranges::find(changed, i) != changed.end();
    const auto lastMs = renews ? lease.LastGrantSentMs() : lease.LastSentMs();
    const bool due = aNowMs - lastMs >= IntervalMs(i, renews);
    if (!isChanged && (!due || lease.IsAwaitingReply(aNowMs))) {
      continue;
    }
    if (renews) {
      SendGrant(i, aNowMs, aActions);
    } else {
      RequestReport(i, aNowMs, aActions);
    }
  }
}

void GrantScheduler::StepAsDeputy(const DeputyRole& aRole,
                                  TimeMs aNowMs,
                                  Actions& aActions)
{
  for (int32_t i = 0; i < static_cast<int32_t>(state_.leases_.size()); ++i) {
    auto& lease = state_.Lease(i);
    if (aNowMs - lease.LastSentMs() < timing::kRenewIntervalMs ||
        aRole.HasStoppedRenewing(state_.Server(i).id_)) {
      continue;
    }
    if (lease.IsSilent(aNowMs) || !lease.IsFenced()) {
      RequestReport(i, aNowMs, aActions);
      continue;
    }
    auto command = NewCommand(i);
    // Repeats the sequence that the server holds, so that the server does not
    // refuse a later command of the assigner because of this one.
    command.sequence_ = lease.ReportedSequence();
    command.incarnation_ = lease.Incarnation();
    command.validUntilMs_ = lease.ExtendLease();
    lease.RecordSent(command.id_, 0, aNowMs);
    aActions.emplace_back(std::move(command));
  }
}

bool GrantScheduler::MayRenew(int32_t aServer, TimeMs aNowMs) const
{
  const auto& lease = state_.Lease(aServer);
  if (!state_.authority_.IsValid(aNowMs) || !lease.IsFenced() ||
      lease.IsSilent(aNowMs)) {
    return false;
  }
  return aNowMs - state_.termStartMs_ > timing::kResolveGraceMs ||
         !recovery_.NeedsReport(aServer);
}

TimeMs GrantScheduler::IntervalMs(int32_t aServer, bool aRenews) const
{
  const bool needsReport =
    !state_.Lease(aServer).IsFenced() || recovery_.NeedsReport(aServer);
  return !aRenews && needsReport ? timing::kReportIntervalMs
                                 : timing::kRenewIntervalMs;
}

GrantCommand GrantScheduler::NewCommand(int32_t aServer)
{
  const auto& server = state_.Server(aServer);
  GrantCommand command;
  command.id_ = ++lastCommandId_;
  command.server_ = server.id_;
  command.address_ = server.address_;
  command.term_ = state_.Table().term_;
  return command;
}

std::vector<HeldRange> GrantScheduler::GrantedRanges(int32_t aServer) const
{
  std::vector<HeldRange> ranges;
  for (const auto& slice : state_.sliceStates_.Slices()) {
    if (slice.Holder() != aServer || !slice.IsHeld()) {
      continue;
    }
    const bool extendsLast = !ranges.empty() &&
                             ranges.back().end_ + 1 == slice.record_.begin_ &&
                             ranges.back().epoch_ == slice.HolderEpoch();
    if (extendsLast) {
      ranges.back().end_ = slice.end_;
    } else {
      ranges.push_back(
        { slice.record_.begin_, slice.end_, slice.HolderEpoch() });
    }
  }
  return ranges;
}

void GrantScheduler::RequestReport(int32_t aServer,
                                   TimeMs aNowMs,
                                   Actions& aActions)
{
  auto command = NewCommand(aServer);
  state_.Lease(aServer).RecordSent(command.id_, 0, aNowMs);
  aActions.emplace_back(std::move(command));
}

void GrantScheduler::SendGrant(int32_t aServer,
                               TimeMs aNowMs,
                               Actions& aActions)
{
  auto& lease = state_.Lease(aServer);
  auto command = NewCommand(aServer);
  command.sequence_ = ++state_.lastGrantSequence_;
  command.incarnation_ = lease.Incarnation();
  command.validUntilMs_ = lease.ExtendLease();
  command.full_ = true;
  command.add_ = GrantedRanges(aServer);
  for (auto& slice : state_.sliceStates_.Slices()) {
    if (slice.Holder() != aServer) {
      continue;
    }
    if (slice.releasing_ && slice.revokeSequence_ == 0) {
      slice.revokeSequence_ = command.sequence_;
    }
    if (slice.IsHeld()) {
      if (slice.grantSequence_ == 0) {
        slice.grantSequence_ = command.sequence_;
      }
      slice.incarnation_ = lease.Incarnation();
    }
  }
  lease.RecordSent(command.id_, command.sequence_, aNowMs);
  aActions.emplace_back(std::move(command));
}

}
