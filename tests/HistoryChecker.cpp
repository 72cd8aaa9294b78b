#include "HistoryChecker.hpp"

#include "common/Strings.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace cactuspitch {

namespace detail {

std::string Describe(const OwnerInterval& aOwner)
{
  return Concat("key ",
                aOwner.key_,
                " epoch ",
                aOwner.epoch_,
                " at ",
                aOwner.server_,
                "#",
                aOwner.incarnation_,
                " [",
                aOwner.startMs_,
                ", ",
                aOwner.endMs_,
                ")");
}

}

std::vector<Violation> HistoryChecker::Check()
{
  CheckSingleOwner();
  CheckOwnerEpochs();
  CheckAssignments();
  CheckConfig();
  CheckExecutions();
  CheckResponses();
  return std::move(violations_);
}

void HistoryChecker::Report(std::string aRule, std::string aDetail)
{
  violations_.push_back({ std::move(aRule), std::move(aDetail) });
}

void HistoryChecker::CheckSingleOwner()
{
  std::map<KeyHash, std::vector<const OwnerInterval*>> byKey;
  for (const auto& owner : history_.owners_) {
    byKey[owner.key_].push_back(&owner);
  }
  for (auto& [key, owners] : byKey) {
    std::ranges::sort(owners, {}, &OwnerInterval::startMs_);
    const OwnerInterval* last = nullptr;
    for (const auto* owner : owners) {
      const bool sameProcess = last != nullptr &&
                               last->server_ == owner->server_ &&
                               last->incarnation_ == owner->incarnation_;
      if (last != nullptr && !sameProcess && owner->startMs_ < last->endMs_) {
        Report(
          "single owner",
          Concat(detail::Describe(*last), " and ", detail::Describe(*owner)));
      }
      if (last == nullptr || owner->endMs_ > last->endMs_) {
        last = owner;
      }
    }
  }
}

void HistoryChecker::CheckOwnerEpochs()
{
  auto owners = history_.owners_;
  std::ranges::stable_sort(owners, {}, &OwnerInterval::startMs_);
  std::map<KeyHash, const OwnerInterval*> newest;
  for (const auto& owner : owners) {
    auto& last = newest[owner.key_];
    if (last != nullptr && owner.epoch_ < last->epoch_) {
      Report(
        "epochs never decrease",
        Concat(detail::Describe(owner), " after ", detail::Describe(*last)));
    }
    if (last != nullptr && owner.epoch_ == last->epoch_ &&
        owner.server_ != last->server_) {
      Report(
        "one server per epoch",
        Concat(detail::Describe(owner), " after ", detail::Describe(*last)));
    }
    last = &owner;
  }
}

void HistoryChecker::CheckAssignments()
{
  auto acks = history_.assignments_;
  std::ranges::stable_sort(acks, {}, &AssignmentAck::atMs_);
  std::map<KeyHash, AssignmentAck> newest;
  for (const auto& ack : acks) {
    const auto [found, isNew] = newest.try_emplace(ack.key_, ack);
    auto& last = found->second;
    const bool reverts =
      !isNew && (ack.epoch_ < last.epoch_ ||
                 (ack.epoch_ == last.epoch_ && ack.server_ != last.server_));
    if (reverts) {
      Report("assignments never revert",
             Concat("key ",
                    ack.key_,
                    " epoch ",
                    ack.epoch_,
                    " of ",
                    ack.server_,
                    " after ",
                    last.epoch_,
                    " of ",
                    last.server_));
    }
    last = ack;
  }
  // Once an assignment is acknowledged, no other server may start to own the
  // key under an older epoch.
  for (const auto& owner : history_.owners_) {
    for (const auto& ack : acks) {
      if (ack.key_ == owner.key_ && ack.atMs_ < owner.startMs_ &&
          ack.epoch_ > owner.epoch_ && ack.server_ != owner.server_) {
        Report("assignments never revert",
               Concat(detail::Describe(owner), " after epoch ", ack.epoch_));
        break;
      }
    }
  }
}

void HistoryChecker::CheckConfig()
{
  auto observations = history_.configs_;
  std::ranges::stable_sort(observations, {}, &ConfigObservation::atMs_);
  std::map<std::string, int64_t> newest;
  for (const auto& seen : observations) {
    auto& last = newest[seen.observer_];
    if (seen.version_ < last) {
      Report("configuration never reverts",
             Concat(seen.observer_, " from ", last, " to ", seen.version_));
    }
    last = seen.version_;
  }
}

void HistoryChecker::CheckExecutions()
{
  std::map<std::string, int> count;
  for (const auto& run : history_.executions_) {
    if (!run.idempotent_ && ++count[run.requestId_] == 2) {
      Report("non-idempotent at most once",
             Concat(run.requestId_, " was executed again at ", run.server_));
    }
  }
}

void HistoryChecker::CheckResponses()
{
  std::set<std::string> ran;
  for (const auto& run : history_.executions_) {
    ran.insert(run.requestId_);
  }
  std::set<std::string> answered;
  for (const auto& answer : history_.responses_) {
    if (!answered.insert(answer.requestId_).second) {
      Report("one response per request", answer.requestId_);
    }
    if (answer.outcome_ == Outcome::NotRun && ran.contains(answer.requestId_)) {
      Report("not-run implies not executed", answer.requestId_);
    }
    if (answer.outcome_ != Outcome::Complete) {
      continue;
    }
    if (answer.bodyRequestId_ != answer.requestId_) {
      Report("response belongs to its request",
             Concat(answer.requestId_, " got ", answer.bodyRequestId_));
    }
    if (!ran.contains(answer.requestId_)) {
      Report("complete implies executed", answer.requestId_);
    }
  }
}

std::string ToText(const std::vector<Violation>& aViolations)
{
  std::string text;
  for (const auto& violation : aViolations) {
    AppendTo(text, violation.rule_, ": ", violation.detail_, "\n");
  }
  return text;
}

}
