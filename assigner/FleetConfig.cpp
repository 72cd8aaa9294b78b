#include "FleetConfig.hpp"

#include <algorithm>

namespace cactuspitch {

bool FleetConfig::UpdateIfNewer(int64_t aVersion,
                                const std::string& aJson,
                                TimeMs aConfirmedMs)
{
  const std::lock_guard lock(mutex_);
  if (aVersion < document_.version_) {
    return false;
  }
  if (aVersion == document_.version_) {
    document_.confirmedMs_ = std::max(document_.confirmedMs_, aConfirmedMs);
    return false;
  }
  document_ = { aVersion, aJson, aConfirmedMs };
  return true;
}

void FleetConfig::Confirm(TimeMs aNowMs)
{
  const std::lock_guard lock(mutex_);
  document_.confirmedMs_ = std::max(document_.confirmedMs_, aNowMs);
}

FleetConfig::Document FleetConfig::Get() const
{
  const std::lock_guard lock(mutex_);
  return document_;
}

int64_t FleetConfig::Version() const
{
  const std::lock_guard lock(mutex_);
  return document_.version_;
}

}
