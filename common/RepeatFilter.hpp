#pragma once

#include "common/Types.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace cactuspitch {

/// Keeps reports about the same subject apart in time, such as log lines about
/// an entry that is read again and again. Takes bounded memory.
class RepeatFilter
{
public:
  static constexpr TimeMs kIntervalMs = 60000;
  /// Further subjects are not let through until others are forgotten.
  static constexpr size_t kMaxSubjects = 256;

  /// Returns true if none of the subject was let through in the interval.
  bool Passes(std::string_view aSubject, TimeMs aNowMs);

private:
  std::map<std::string, TimeMs, std::less<>> passedMs_;
};

}
