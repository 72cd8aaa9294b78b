#include "common/RepeatFilter.hpp"

namespace cactuspitch {

bool RepeatFilter::Passes(std::string_view aSubject, TimeMs aNowMs)
{
  std::erase_if(passedMs_, [aNowMs](const auto& aEntry) {
    return aNowMs - aEntry.second >= kIntervalMs;
  });
  if (passedMs_.size() >= kMaxSubjects || passedMs_.contains(aSubject)) {
    return false;
  }
  passedMs_.emplace(aSubject, aNowMs);
  return true;
}

}
