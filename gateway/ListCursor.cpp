#include "gateway/ListCursor.hpp"

#include <algorithm>

namespace cactuspitch {

namespace detail {

/// Name behind which the list goes on; empty if there is none. Objects behind
/// a readable name are listed again, so it is preferred to a later one that the
/// store may not accept.
std::string NextAfter(const ObjectList& aPage, const std::string& aAfter)
{
  const auto moves = [&](const StoreObject& aObject) {
    return aObject.name_ > aAfter;
  };
  const auto isSafe = [&](const StoreObject& aObject) {
    return moves(aObject) && IsNamed(aObject) &&
           aObject.name_.size() <= ListCursor::kMaxAfterBytes;
  };
  const auto& objects = aPage.items_;
  auto found = std::find_if(objects.rbegin(), objects.rend(), isSafe);
  if (found == objects.rend()) {
    found = std::find_if(objects.rbegin(), objects.rend(), moves);
  }
  return found == objects.rend() ? std::string() : found->name_;
}

}

ListCursor::ListCursor(TimeMs aNowMs)
  : startedMs_(aNowMs)
{
}

ListStep ListCursor::OnPage(const ObjectList& aPage, TimeMs aNowMs)
{
  failures_ = 0;
  // Pages of a read that may be old can differ in their age.
  revision_ =
    pages_ == 0 ? aPage.revision_ : std::min(revision_, aPage.revision_);
  ++pages_;
  const bool isForward =
    std::ranges::all_of(aPage.items_, [this](const StoreObject& aObject) {
      return !IsNamed(aObject) || aObject.name_ > after_;
    });
  if (!isForward) {
    return CutShort(ListCut::NotForward);
  }
  if (!aPage.hasMore_) {
    return ListStep::Complete;
  }
  if (IsTooLong(aNowMs)) {
    return CutShort(ListCut::TooLong);
  }
  auto next = detail::NextAfter(aPage, after_);
  if (next.empty()) {
    return CutShort(ListCut::NoName);
  }
  after_ = std::move(next);
  return ListStep::ReadPage;
}

ListStep ListCursor::OnFailure(TimeMs aNowMs)
{
  if (pages_ == 0) {
    return ListStep::ReadPage;
  }
  if (++failures_ >= kMaxAttempts) {
    return CutShort(ListCut::Failed);
  }
  return IsTooLong(aNowMs) ? CutShort(ListCut::TooLong) : ListStep::ReadPage;
}

bool ListCursor::IsTooLong(TimeMs aNowMs) const
{
  return pages_ >= kMaxPages || aNowMs - startedMs_ >= kMaxListMs;
}

ListStep ListCursor::CutShort(ListCut aCut)
{
  cut_ = aCut;
  return ListStep::CutShort;
}

}
