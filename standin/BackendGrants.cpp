#include "BackendGrants.hpp"

#include "common/Strings.hpp"

#include <algorithm>
#include <chrono>
#include <tuple>

namespace cactuspitch {

namespace detail {

/// Hashes are JSON numbers, or strings for senders whose JSON library has no
/// unsigned 64-bit numbers.
KeyHash HashFromJson(const nlohmann::json& aValue)
{
  if (aValue.is_string()) {
    KeyHash hash = 0;
    ParseNumber(aValue.get<std::string>(), hash);
    return hash;
  }
  return aValue.get<KeyHash>();
}

nlohmann::json Entries(const nlohmann::json& aOrder, const char* aName)
{
  const auto found = aOrder.find(aName);
  return found == aOrder.end() ? nlohmann::json::array() : *found;
}

}

BackendGrants::BackendGrants(std::string aIncarnation, bool aChecks)
  : incarnation_(std::move(aIncarnation))
  , checks_(aChecks)
{
}

bool BackendGrants::IsOld(const nlohmann::json& aOrder, TimeMs aNowMs) const
{
  const auto incarnation = aOrder.value("incarnation", std::string());
  const bool isReport = incarnation.empty();
  if (!isReport && incarnation != incarnation_) {
    return true;
  }
  const std::pair version(aOrder.at("term").get<Term>(),
                          aOrder.at("sequence").get<int64_t>());
  if (checks_ && version < std::pair(term_, sequence_)) {
    return true;
  }
  // An order that was delayed beyond its lease must not change anything.
  return !isReport && aOrder.at("validUntilMs").get<TimeMs>() <= aNowMs;
}

bool BackendGrants::Apply(const nlohmann::json& aOrder,
                          TimeMs aNowMs,
                          TimeMs aRevokeWaitMs)
{
  const std::lock_guard order(orderMutex_);
  std::unique_lock lock(mutex_);
  if (IsOld(aOrder, aNowMs)) {
    return false;
  }
  const std::pair version(aOrder.at("term").get<Term>(),
                          aOrder.at("sequence").get<int64_t>());
  if (version > std::pair(term_, sequence_)) {
    std::tie(term_, sequence_) = version;
  }
  if (aOrder.value("incarnation", std::string()).empty()) {
    return true;
  }
  Slices next = aOrder.value("full", false) ? Slices() : held_;
  for (const auto& entry : detail::Entries(aOrder, "remove")) {
    next.erase(detail::HashFromJson(entry.at("begin")));
  }
  for (const auto& entry : detail::Entries(aOrder, "add")) {
    next[detail::HashFromJson(entry.at("begin"))] = {
      detail::HashFromJson(entry.at("end")), entry.at("epoch").get<Epoch>()
    };
  }
  closing_ = std::exchange(held_, std::move(next));
  leaseUntilMs_ = aOrder.at("validUntilMs").get<TimeMs>();
  ended_.wait_for(lock, std::chrono::milliseconds(aRevokeWaitMs), [this] {
    return !HasRunningOutside(held_);
  });
  closing_.clear();
  return true;
}

void BackendGrants::Describe(nlohmann::json& aAnswer) const
{
  const std::lock_guard lock(mutex_);
  aAnswer["incarnation"] = incarnation_;
  aAnswer["term"] = term_;
  aAnswer["sequence"] = sequence_;
  aAnswer["validUntilMs"] = leaseUntilMs_;
  auto& held = aAnswer["held"] = nlohmann::json::array();
  for (const auto& [begin, slice] : held_) {
    held.push_back(
      { { "begin", begin }, { "end", slice.end_ }, { "epoch", slice.epoch_ } });
  }
}

std::optional<NotRunReason> BackendGrants::Begin(KeyHash aHash,
                                                 Epoch aEpoch,
                                                 TimeMs aNowMs)
{
  const std::lock_guard lock(mutex_);
  const auto refusal = Check(held_, aHash, aEpoch, aNowMs);
  if (!refusal) {
    running_.emplace(aHash, aEpoch);
  }
  return refusal;
}

std::optional<NotRunReason> BackendGrants::Commit(KeyHash aHash,
                                                  Epoch aEpoch,
                                                  TimeMs aNowMs) const
{
  const std::lock_guard lock(mutex_);
  const auto refusal = Check(held_, aHash, aEpoch, aNowMs);
  const bool closes = refusal && !Check(closing_, aHash, aEpoch, aNowMs);
  return closes ? std::nullopt : refusal;
}

void BackendGrants::End(KeyHash aHash, Epoch aEpoch)
{
  {
    const std::lock_guard lock(mutex_);
    running_.erase(running_.find({ aHash, aEpoch }));
  }
  ended_.notify_all();
}

bool BackendGrants::HoldsNothing() const
{
  const std::lock_guard lock(mutex_);
  return held_.empty();
}

std::optional<Epoch> BackendGrants::EpochOf(const Slices& aSlices,
                                            KeyHash aHash)
{
  const auto next = aSlices.upper_bound(aHash);
  if (next == aSlices.begin()) {
    return std::nullopt;
  }
  const auto& slice = std::prev(next)->second;
  return aHash <= slice.end_ ? std::optional(slice.epoch_) : std::nullopt;
}

std::optional<NotRunReason> BackendGrants::Check(const Slices& aSlices,
                                                 KeyHash aHash,
                                                 Epoch aEpoch,
                                                 TimeMs aNowMs) const
{
  if (!checks_) {
    return std::nullopt;
  }
  const auto epoch = EpochOf(aSlices, aHash);
  if (!epoch) {
    return NotRunReason::NotOwner;
  }
  if (*epoch != aEpoch) {
    return NotRunReason::StaleEpoch;
  }
  if (aNowMs >= leaseUntilMs_) {
    return NotRunReason::LeaseExpired;
  }
  return std::nullopt;
}

bool BackendGrants::HasRunningOutside(const Slices& aSlices) const
{
  return std::ranges::any_of(running_, [&](const auto& aRequest) {
    return EpochOf(aSlices, aRequest.first) != aRequest.second;
  });
}

}
