#pragma once

#include "common/EnumNames.hpp"
#include "common/Types.hpp"

#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <string>

#include <absl/status/status.h>
#include <nlohmann/json.hpp>

namespace cactuspitch {

/// How the store handles calls during an outage.
enum class StoreOutage : uint8_t
{
  None,
  Respond503, ///< responds with 503 at once
  Close,      ///< closes the connection without a response
  Hang,       ///< sends nothing until the outage ends, then closes
  Count
};

template<>
struct EnumNames<StoreOutage>
{
  static constexpr std::string_view kNames[] = { "none",
                                                 "answer",
                                                 "close",
                                                 "silent" };
};

/// Faults to inject into one call.
struct StoreFault
{
  StoreOutage outage_ = StoreOutage::None;
  TimeMs delayMs_ = 0;
  /// The call gets a 503 and has no effect.
  bool returnsError_ = false;
  /// The call takes effect, but the connection closes without a response.
  bool dropsResponse_ = false;
};

/// Decides which faults the stand-in store injects. Random faults depend on a
/// seed, so that a run can be repeated. Thread-safe.
class StoreFaultInjector
{
public:
  /// Sets the faults named in the document; the others keep their values.
  /// Returns an error when the document is invalid.
  absl::Status Apply(const nlohmann::json& aDocument);
  nlohmann::json ToJson() const;

  /// Faults for the next call; only writes can lose their response.
  StoreFault NextFault(bool aIsWrite);
  StoreOutage Outage() const;
  /// Replication lag of the objects that reads of the kind return.
  TimeMs LagMs(const std::string& aKind) const;

private:
  /// Returns true with the probability aRate.
  bool Draw(double aRate);

  mutable std::mutex mutex_;
  StoreOutage outage_ = StoreOutage::None;
  TimeMs delayMs_ = 0;
  int64_t responsesToDrop_ = 0;
  double dropResponseRate_ = 0;
  double errorRate_ = 0;
  uint64_t seed_ = 1;
  std::mt19937_64 randomEngine_{ 1 };
  std::map<std::string, TimeMs> lagMs_;
};

}
