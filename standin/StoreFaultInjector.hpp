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

/// How an unavailable store meets a call.
enum class StoreOutage : uint8_t
{
  None,
  Respond503, ///< 503 at once
  Close,      ///< closes the connection without an answer
  Hang,       ///< holds the call until the fault ends, then closes
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

/// What happens to one call.
struct StoreFault
{
  StoreOutage outage_ = StoreOutage::None;
  TimeMs delayMs_ = 0;
  /// Refused with 503 before it took effect.
  bool returnsError_ = false;
  /// It takes effect, but the connection closes without an answer.
  bool dropsResponse_ = false;
};

/// Faults that the stand-in store was told to show. Random ones come from a
/// seed, so a run can be repeated.
class StoreFaultInjector
{
public:
  /// Members that the document does not name keep their values.
  absl::Status Apply(const nlohmann::json& aDocument);
  nlohmann::json ToJson() const;

  StoreFault NextFault(bool aIsWrite);
  StoreOutage Outage() const;
  /// Age of the state that reads of the kind see.
  TimeMs LagMs(const std::string& aKind) const;

private:
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
