#pragma once

#include "common/Types.hpp"

#include <mutex>
#include <string>

namespace cactuspitch {

/// Newest configuration document that this process has seen. Never goes back.
class FleetConfig
{
public:
  struct Document
  {
    int64_t version_ = 0;
    std::string json_;
    /// When the store confirmed it as the newest, -1 when it never did.
    TimeMs confirmedMs_ = -1;
  };

  /// From the store or from another assigner; true when it is newer.
  bool UpdateIfNewer(int64_t aVersion,
                     const std::string& aJson,
                     TimeMs aConfirmedMs);
  /// The store answered that nothing is newer than what it gave before.
  void Confirm(TimeMs aNowMs);
  Document Get() const;
  int64_t Version() const;

private:
  mutable std::mutex mutex_;
  Document document_;
};

}
