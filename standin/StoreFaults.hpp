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
enum class StoreDown : uint8_t
{
  None,
  Answer, ///< 503 at once
  Close,  ///< closes the connection without an answer
  Silent, ///< holds the call until the fault ends, then closes
  Count
};

template<>
struct EnumNames<StoreDown>
{
  static constexpr std::string_view kNames[] = { "none",
                                                 "answer",
                                                 "close",
                                                 "silent" };
};

/// What happens to one call.
struct StoreFault
{
  StoreDown down_ = StoreDown::None;
  TimeMs delayMs_ = 0;
  /// Refused with 503 before it took effect.
  bool fails_ = false;
  /// It takes effect, but the connection closes without an answer.
  bool losesAnswer_ = false;
};

/// Faults that the stand-in store was told to show. Random ones come from a
/// seed, so a run can be repeated.
class StoreFaults
{
public:
  /// Members that the document does not name keep their values.
  absl::Status Apply(const nlohmann::json& aDocument);
  nlohmann::json ToJson() const;

  StoreFault Next(bool aIsWrite);
  StoreDown Down() const;
  /// Age of the state that reads of the kind see.
  TimeMs LagMs(const std::string& aKind) const;

private:
  bool Draw(double aRate);

  mutable std::mutex mutex_;
  StoreDown down_ = StoreDown::None;
  TimeMs slowMs_ = 0;
  int64_t loseAnswers_ = 0;
  double loseAnswerRate_ = 0;
  double failRate_ = 0;
  uint64_t seed_ = 1;
  std::mt19937_64 random_{ 1 };
  std::map<std::string, TimeMs> lagMs_;
};

}
