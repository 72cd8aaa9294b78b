#pragma once

#include "gateway/PlatformInterface.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace cactuspitch {

/// What follows a page of a list, or a failed call for one.
enum class ListStep : uint8_t
{
  ReadPage, ///< the page behind After()
  Complete,
  CutShort, ///< the rest of the objects stays unknown
  Count
};

template<>
struct EnumNames<ListStep>
{
  static constexpr std::string_view kNames[] = { "read-page",
                                                 "complete",
                                                 "cut-short" };
};

/// Why a list was cut short.
enum class ListCut : uint8_t
{
  None,
  NotForward, ///< a page holds names that are not above the one asked for
  NoName,     ///< no readable name is left to continue behind
  Failed,     ///< the calls for a page failed
  TooLong,    ///< too many pages, or too much time
  Count
};

template<>
struct EnumNames<ListCut>
{
  static constexpr std::string_view kNames[] = { "none",
                                                 "not-forward",
                                                 "no-name",
                                                 "failed",
                                                 "too-long" };
};

/// Position in a list that the store returns in pages, in the order of the
/// names' bytes. Ends each list in bounded time, whatever the pages hold.
class ListCursor
{
public:
  /// With pages of 500 objects, four times the 25,000 registrations of the
  /// fleet to design for.
  static constexpr int kMaxPages = 200;
  /// The store discards its history after about this time. Changes since the
  /// start of a longer list could not be followed any more.
  static constexpr TimeMs kMaxListMs = 20000;
  /// Calls in a row for a page behind the first. The first page is asked for
  /// until the store returns it.
  static constexpr int kMaxAttempts = 3;
  /// Longer names make requests that servers commonly refuse.
  static constexpr size_t kMaxAfterBytes = 1024;

  explicit ListCursor(TimeMs aNowMs);

  ListStep OnPage(const ObjectList& aPage, TimeMs aNowMs);
  ListStep OnFailure(TimeMs aNowMs);
  /// Empty for the first page.
  const std::string& After() const { return after_; }
  /// Revision from which a watch shows all changes since the list began.
  int64_t Revision() const { return revision_; }
  int Pages() const { return pages_; }
  ListCut Cut() const { return cut_; }

private:
  ListStep CutShort(ListCut aCut);
  bool IsTooLong(TimeMs aNowMs) const;

  TimeMs startedMs_;
  std::string after_;
  int64_t revision_ = 0;
  int pages_ = 0;
  int failures_ = 0; ///< in a row
  ListCut cut_ = ListCut::None;
};

}
