#include "BackendGrants.hpp"

#include "common/Strings.hpp"

#include <algorithm>
#include <chrono>
#include <tuple>

namespace cactuspitch {

namespace detail {

/// Parses a hash given as a JSON number, or as a decimal string from clients
/// whose JSON library lacks unsigned 64-bit integers.
KeyHash HashFromJson(const nlohmann::json& aValue)
{
  if (aValue.is_string()) {
    KeyHash hash = 0;
    ParseNumber(aValue.get<std::string>(), hash);
    return hash;
  }
  return aValue.get<KeyHash>();
}

/// Returns the named member, or an empty array when it is absent.
nlohmann::json ListMember(const nlohmann::json& aCommand, const char* aName)
{
  const auto found = aCommand.find(aName);
  return found == aCommand.end() ? nlohmann::json::array() : *found;
}

}

BackendGrants::BackendGrants(std::string aIncarnation, bool aFencingEnabled)
  : incarnation_(std::move(aIncarnation))
  , fencingEnabled_(aFencingEnabled)
{
}

bool BackendGrants::IsStale(const nlohmann::json& aCommand, TimeMs aNowMs) const
{
  const auto incarnation = aCommand.value("incarnation", std::string());
  const bool isReport = incarnation.empty();
  if (!isReport && incarnation != incarnation_) {
    return true;
  }
  const std::pair version(aCommand.at("term").get<Term>(),
                          aCommand.at("sequence").get<int64_t>());
  if (fencingEnabled_ && version < std::pair(term_, sequence_)) {
    return true;
  }
  // A command that arrives after its lease has expired must have no effect.
  return !isReport && aCommand.at("validUntilMs").get<TimeMs>() <= aNowMs;
}

bool BackendGrants::Apply(const nlohmann::json& aCommand,
                          TimeMs aNowMs,
                          TimeMs aRevokeWaitMs)
{
  const std::lock_guard commandLock(commandMutex_);
  std::unique_lock lock(mutex_);
  if (IsStale(aCommand, aNowMs)) {
    return false;
  }
  const std::pair version(aCommand.at("term").get<Term>(),
                          aCommand.at("sequence").get<int64_t>());
  if (version > std::pair(term_, sequence_)) {
    std::tie(term_, sequence_) = version;
  }
  if (aCommand.value("incarnation", std::string()).empty()) {
    return true;
  }
  Slices next = aCommand.value("full", false) ? Slices() : held_;
  for (const auto& entry : detail::ListMember(aCommand, "remove")) {
    next.erase(detail::HashFromJson(entry.at("begin")));
  }
  for (const auto& entry : detail::ListMember(aCommand, "add")) {
    next[detail::HashFromJson(entry.at("begin"))] = {
      detail::HashFromJson(entry.at("end")), entry.at("epoch").get<Epoch>()
    };
  }
  revoking_ = std::exchange(held_, std::move(next));
  leaseUntilMs_ = aCommand.at("validUntilMs").get<TimeMs>();
  requestEnded_.wait_for(lock,
                         std::chrono::milliseconds(aRevokeWaitMs),
                         [this] { return !HasRequestsOutside(held_); });
  revoking_.clear();
  return true;
}

void BackendGrants::AddStatus(nlohmann::json& aStatus) const
{
  const std::lock_guard lock(mutex_);
  aStatus["incarnation"] = incarnation_;
  aStatus["term"] = term_;
  aStatus["sequence"] = sequence_;
  aStatus["validUntilMs"] = leaseUntilMs_;
  auto& held = aStatus["held"] = nlohmann::json::array();
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
  const auto rejection = Check(held_, aHash, aEpoch, aNowMs);
  if (!rejection) {
    running_.emplace(aHash, aEpoch);
  }
  return rejection;
}

std::optional<NotRunReason> BackendGrants::Commit(KeyHash aHash,
                                                  Epoch aEpoch,
                                                  TimeMs aNowMs) const
{
  const std::lock_guard lock(mutex_);
  const auto rejection = Check(held_, aHash, aEpoch, aNowMs);
  const bool isRevoking = rejection && !Check(revoking_, aHash, aEpoch, aNowMs);
  return isRevoking ? std::nullopt : rejection;
}

void BackendGrants::End(KeyHash aHash, Epoch aEpoch)
{
  {
    const std::lock_guard lock(mutex_);
    running_.erase(running_.find({ aHash, aEpoch }));
  }
  requestEnded_.notify_all();
}

bool BackendGrants::HoldsNoSlices() const
{
  const std::lock_guard lock(mutex_);
  return held_.empty();
}

std::optional<Epoch> BackendGrants::FindEpoch(const Slices& aSlices,
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
  if (!fencingEnabled_) {
    return std::nullopt;
  }
  const auto epoch = FindEpoch(aSlices, aHash);
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

bool BackendGrants::HasRequestsOutside(const Slices& aSlices) const
{
  return std::ranges::any_of(running_, [&](const auto& aRequest) {
    return FindEpoch(aSlices, aRequest.first) != aRequest.second;
  });
}

}
