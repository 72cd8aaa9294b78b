#include "RuleResolver.hpp"

#include <algorithm>

namespace cactuspitch {

RuleResolver::RuleResolver(const FleetDocument& aDocument, UnixMs aNowMs)
  : version_(aDocument.version_)
  , defaults_(aDocument.defaults_)
{
  for (const auto& exception : aDocument.exceptions_) {
    const auto* field = FindRuleField(exception.field_);
    if (!field || !exception.IsInForce(aNowMs)) {
      continue;
    }
    byService_[exception.scope_.service_].push_back({ field, exception });
    nextExpiryMs_ =
      std::min(nextExpiryMs_, exception.expiresMs_.value_or(INT64_MAX));
  }
  for (auto& [service, entries] : byService_) {
    std::ranges::stable_sort(entries, {}, [](const Entry& aEntry) {
      return aEntry.exception_.scope_.Mask();
    });
  }
}

template<typename Visit>
void RuleResolver::ForEachMatch(const RuleScope& aTarget, Visit&& aVisit) const
{
  // Exceptions with and without a service interleave in the order of
  // specificity, so the two sorted lists are merged.
  static const std::vector<Entry> kNone;
  const auto find = [&](const std::string& aService) -> const auto&
  {
    const auto found = byService_.find(aService);
    return found == byService_.end() ? kNone : found->second;
  };
  const auto& anyService = find({});
  const auto& ownService =
    aTarget.service_.empty() ? kNone : find(aTarget.service_);
  auto left = anyService.begin();
  auto right = ownService.begin();
  while (left != anyService.end() || right != ownService.end()) {
    const bool takeLeft =
      right == ownService.end() ||
      (left != anyService.end() &&
       left->exception_.scope_.Mask() < right->exception_.scope_.Mask());
    const auto& entry = takeLeft ? *left++ : *right++;
    if (entry.exception_.scope_.Contains(aTarget)) {
      aVisit(entry);
    }
  }
}

ServiceRules RuleResolver::Resolve(const RuleScope& aTarget) const
{
  auto rules = defaults_;
  ForEachMatch(aTarget, [&](const Entry& aEntry) {
    aEntry.field_->Set(rules, aEntry.exception_.value_);
  });
  return rules;
}

std::vector<RuleOrigin> RuleResolver::Explain(const RuleScope& aTarget) const
{
  std::vector<RuleOrigin> origins;
  for (const auto& field : RuleFields()) {
    origins.push_back({ &field, field.Get(defaults_), nullptr });
  }
  ForEachMatch(aTarget, [&](const Entry& aEntry) {
    auto& origin =
      origins[static_cast<size_t>(aEntry.field_ - RuleFields().data())];
    origin.value_ = aEntry.exception_.value_;
    origin.exception_ = &aEntry.exception_;
  });
  return origins;
}

uint8_t RuleResolver::UsedDimensions(const std::string& aService) const
{
  uint8_t mask = 0;
  for (const auto& name : { std::string(), aService }) {
    const auto found = byService_.find(name);
    if (found == byService_.end()) {
      continue;
    }
    for (const auto& entry : found->second) {
      mask |= entry.exception_.scope_.Mask();
    }
  }
  return mask;
}

std::vector<RuleDifference> CompareRules(const FleetDocument& aFrom,
                                         const FleetDocument& aTo,
                                         UnixMs aNowMs)
{
  std::vector<RuleScope> targets = { {} };
  for (const auto* document : { &aFrom, &aTo }) {
    for (const auto& exception : document->exceptions_) {
      if (std::ranges::find(targets, exception.scope_) == targets.end()) {
        targets.push_back(exception.scope_);
      }
    }
  }
  const RuleResolver from(aFrom, aNowMs);
  const RuleResolver to(aTo, aNowMs);
  std::vector<RuleDifference> differences;
  for (const auto& target : targets) {
    const auto before = from.Resolve(target);
    const auto after = to.Resolve(target);
    for (const auto& field : RuleFields()) {
      auto old = field.Get(before);
      auto changed = field.Get(after);
      if (old != changed) {
        differences.push_back({ target,
                                std::string(field.name_),
                                std::move(old),
                                std::move(changed) });
      }
    }
  }
  return differences;
}

}
