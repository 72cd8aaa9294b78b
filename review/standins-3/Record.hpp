#pragma once

#include "common/Clock.hpp"

#include <cstdio>
#include <string_view>

namespace cactuspitch {

/// Log of a case: what was sent, answered and run, with the time in ms since
/// the start.
class Record
{
public:
  Record(const Clock& aClock, const char* aPath);
  ~Record();
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  TimeMs ElapsedMs() const { return clock_.NowMs() - startMs_; }
  void Line(std::string_view aText);
  /// Also printed to standard output.
  void Finding(std::string_view aText);

private:
  const Clock& clock_;
  TimeMs startMs_;
  std::FILE* file_;
};

}
