#include "policy/FleetLoadTable.hpp"

namespace cactuspitch {

namespace detail {

/// Weight of a new measurement in the moving average of the service time: each
/// gateway measures few requests.
constexpr double kServiceTimeWeight = 0.2;

}

void FleetLoadTable::Add(const FleetLoadEntry& aEntry, TimeMs aNowMs)
{
  auto& state = states_[aEntry.server_];
  const double previousMs = state.entry_.serviceTimeMs_;
  state.entry_ = aEntry;
  if (aEntry.serviceTimeMs_ <= 0) {
    state.entry_.serviceTimeMs_ = previousMs;
  } else if (previousMs > 0) {
    state.entry_.serviceTimeMs_ =
      previousMs +
      (aEntry.serviceTimeMs_ - previousMs) * detail::kServiceTimeWeight;
  }
  state.atMs_ = aNowMs;
  state.changed_ = true;
}

std::vector<FleetLoadEntry> FleetLoadTable::TakeChanged(TimeMs aNowMs)
{
  std::erase_if(states_, [&](const auto& aItem) {
    return aNowMs - aItem.second.atMs_ > kExpiryMs;
  });
  std::vector<FleetLoadEntry> changed;
  for (auto& [server, state] : states_) {
    if (state.changed_) {
      changed.push_back(state.entry_);
      state.changed_ = false;
    }
  }
  return changed;
}

double FleetLoadTable::ServiceTimeMs(uint32_t aServer) const
{
  const auto found = states_.find(aServer);
  return found == states_.end() ? 0 : found->second.entry_.serviceTimeMs_;
}

}
