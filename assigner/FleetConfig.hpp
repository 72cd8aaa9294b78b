#pragma once

#include "common/Types.hpp"

#include <mutex>
#include <string>

namespace cactuspitch {

/// Newest configuration document that this process has seen. Its version never
/// decreases.
class FleetConfig
{
public:
  struct Document
  {
    int64_t version_ = 0;
    std::string json_;
    /// When the store last confirmed that this is the newest document, -1 when
    /// it never did.
    TimeMs confirmedMs_ = -1;
  };

  /// Takes a document from the store or from another assigner. Returns true
  /// when it is newer than the current one.
  bool UpdateIfNewer(int64_t aVersion,
                     const std::string& aJson,
                     TimeMs aConfirmedMs);
  /// The store reported that there is no document newer than those it has sent
  /// before.
  void Confirm(TimeMs aNowMs);
  Document Get() const;
  int64_t Version() const;

private:
  mutable std::mutex mutex_;
  Document document_;
};

}
