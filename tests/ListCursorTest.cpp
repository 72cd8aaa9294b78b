#include "gateway/ListCursor.hpp"

#include "common/Strings.hpp"

#include <algorithm>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cactuspitch {
namespace {

StoreObject Object(std::string aName, ObjectFault aFault = ObjectFault::None)
{
  StoreObject object;
  object.name_ = std::move(aName);
  object.fault_ = aFault;
  return object;
}

StoreObject Anonymous()
{
  return Object({}, ObjectFault::Name);
}

ObjectList Page(std::vector<StoreObject> aObjects, bool aHasMore)
{
  ObjectList page;
  page.hasItems_ = true;
  page.items_ = std::move(aObjects);
  page.revision_ = 9;
  page.hasMore_ = aHasMore;
  return page;
}

struct PageCase
{
  const char* name_;
  std::vector<StoreObject> objects_;
  bool hasMore_;
  ListStep step_;
  ListCut cut_;
  std::string after_; ///< of the next page
};

// Guards against lists that never end, and against lists that pass for complete
// although pages are missing: all servers on them would count as gone.
TEST(ListCursor, PagesBehindAName)
{
  using enum ListStep;
  const std::string longName(ListCursor::kMaxAfterBytes + 1, 'x');
  const auto encoding = ObjectFault::NameEncoding;
  const std::vector<PageCase> cases = {
    { "last page", { Object("n") }, false, Complete, ListCut::None, "m" },
    { "last page, empty", {}, false, Complete, ListCut::None, "m" },
    { "last page, unreadable",
      { Anonymous() },
      false,
      Complete,
      ListCut::None,
      "m" },
    { "more", { Object("n"), Object("o") }, true, ReadPage, {}, "o" },
    { "unreadable at the end",
      { Object("n"), Object("o\xff", encoding), Anonymous() },
      true,
      ReadPage,
      {},
      "n" },
    { "no revision at the end",
      { Object("n"), Object("o", ObjectFault::Revision) },
      true,
      ReadPage,
      {},
      "o" },
    { "long name at the end",
      { Object("n"), Object(longName) },
      true,
      ReadPage,
      {},
      "n" },
    { "only a long name", { Object(longName) }, true, ReadPage, {}, longName },
    { "only a name that is not UTF-8",
      { Object("n\xff", encoding), Anonymous() },
      true,
      ReadPage,
      {},
      "n\xff" },
    { "same page again", { Object("m") }, true, CutShort, ListCut::NotForward },
    { "same page again, as the last",
      { Object("m") },
      false,
      CutShort,
      ListCut::NotForward },
    { "names below",
      { Object("a"), Object("b") },
      true,
      CutShort,
      ListCut::NotForward },
    { "a name below among others",
      { Object("b"), Object("n") },
      true,
      CutShort,
      ListCut::NotForward },
    { "nothing, but more", {}, true, CutShort, ListCut::NoName },
    { "nothing readable, but more",
      { Anonymous(), Anonymous() },
      true,
      CutShort,
      ListCut::NoName },
    { "unreadable names that do not move",
      { Object("a\xff", encoding) },
      true,
      CutShort,
      ListCut::NoName },
  };
  for (const auto& testCase : cases) {
    ListCursor cursor(0);
    ASSERT_EQ(cursor.OnPage(Page({ Object("m") }, true), 0), ReadPage);
    ASSERT_EQ(cursor.After(), "m");
    EXPECT_EQ(cursor.OnPage(Page(testCase.objects_, testCase.hasMore_), 0),
              testCase.step_)
      << testCase.name_;
    EXPECT_EQ(cursor.Cut(), testCase.cut_) << testCase.name_;
    if (testCase.step_ == ReadPage) {
      EXPECT_EQ(cursor.After(), testCase.after_) << testCase.name_;
    }
  }
}

// Guards against changes that are missed because a later page is older than the
// first one, from whose revision the watch went on.
TEST(ListCursor, WatchGoesOnFromTheOldestPage)
{
  ListCursor cursor(0);
  auto page = Page({ Object("a") }, true);
  page.revision_ = MakeRevision(2, 20);
  cursor.OnPage(page, 0);
  page = Page({ Object("b") }, true);
  page.revision_ = MakeRevision(2, 17);
  cursor.OnPage(page, 0);
  page = Page({ Object("c") }, false);
  page.revision_ = MakeRevision(2, 21);
  cursor.OnPage(page, 0);
  EXPECT_EQ(cursor.Revision(), MakeRevision(2, 17));
}

// Guards against a list that outlasts the history that a watch needs.
TEST(ListCursor, EndsInBoundedTime)
{
  ListCursor slow(1000);
  const auto page = [](int aNumber) {
    constexpr int kFirst = 100000;
    return Page({ Object(Concat("n", kFirst + aNumber)) }, true);
  };
  EXPECT_EQ(slow.OnPage(page(1), 1000), ListStep::ReadPage);
  EXPECT_EQ(slow.OnPage(page(2), 1000 + ListCursor::kMaxListMs),
            ListStep::CutShort);
  EXPECT_EQ(slow.Cut(), ListCut::TooLong);
  ListCursor endless(0);
  int pages = 1;
  while (endless.OnPage(page(pages), 0) == ListStep::ReadPage) {
    ++pages;
  }
  EXPECT_EQ(pages, ListCursor::kMaxPages);
  EXPECT_EQ(endless.Cut(), ListCut::TooLong);
}

// Guards against a page that always fails: the objects before it would never be
// known. An outage before the first page is waited out.
TEST(ListCursor, GivesUpAPageThatFails)
{
  ListCursor cursor(0);
  for (int attempt = 0; attempt < 100; ++attempt) {
    EXPECT_EQ(cursor.OnFailure(0), ListStep::ReadPage);
  }
  cursor.OnPage(Page({ Object("a") }, true), 0);
  EXPECT_EQ(cursor.OnFailure(0), ListStep::ReadPage);
  EXPECT_EQ(cursor.OnFailure(0), ListStep::ReadPage);
  EXPECT_EQ(cursor.After(), "a");
  EXPECT_EQ(cursor.OnFailure(0), ListStep::CutShort);
  EXPECT_EQ(cursor.Cut(), ListCut::Failed);
}

/// A store with objects of any kind, in the order of their names' bytes.
std::vector<StoreObject> DrawObjects()
{
  const auto names =
    *rc::gen::container<std::set<std::string>>(rc::gen::nonEmpty(
      rc::gen::container<std::string>(rc::gen::inRange('a', 'e'))));
  std::vector<StoreObject> objects;
  for (const auto& name : names) {
    const auto fault =
      *rc::gen::weightedElement<ObjectFault>({ { 6, ObjectFault::None },
                                               { 1, ObjectFault::Name },
                                               { 1, ObjectFault::NameEncoding },
                                               { 1, ObjectFault::Revision } });
    objects.push_back(
      Object(fault == ObjectFault::Name ? std::string() : name, fault));
  }
  return objects;
}

// Guards against a list that never ends or that passes for complete without
// being so, whatever stands in the store and however it answers.
RC_GTEST_PROP(ListCursor, CompleteListsHaveAllNamedObjects, ())
{
  const auto objects = DrawObjects();
  const auto pageSize = *rc::gen::inRange<size_t>(1, 5);
  const bool isHonest = *rc::gen::arbitrary<bool>();
  ListCursor cursor(0);
  std::set<std::string> seen;
  auto step = ListStep::ReadPage;
  int calls = 0;
  while (step == ListStep::ReadPage) {
    RC_ASSERT(++calls <= ListCursor::kMaxPages * ListCursor::kMaxAttempts);
    if (*rc::gen::weightedElement<bool>({ { 9, false }, { 1, true } })) {
      step = cursor.OnFailure(0);
      continue;
    }
    const auto isListed = [&](const StoreObject& aObject) {
      return aObject.name_ == cursor.After();
    };
    auto next = cursor.After().empty()
                  ? objects.begin()
                  : std::ranges::find_if(objects, isListed) + 1;
    if (!isHonest && *rc::gen::arbitrary<bool>()) {
      next = objects.begin() + *rc::gen::inRange<ptrdiff_t>(
                                 0, static_cast<ptrdiff_t>(objects.size()) + 1);
    }
    const auto count = std::min<ptrdiff_t>(static_cast<ptrdiff_t>(pageSize),
                                           objects.end() - next);
    std::vector<StoreObject> page(next, next + count);
    for (const auto& object : page) {
      seen.insert(object.name_);
    }
    step = cursor.OnPage(Page(page, next + count != objects.end()), 0);
  }
  RC_ASSERT((step == ListStep::CutShort) == (cursor.Cut() != ListCut::None));
  if (isHonest && step == ListStep::Complete) {
    RC_ASSERT(std::ranges::all_of(objects, [&](const StoreObject& aObject) {
      return !IsNamed(aObject) || seen.contains(aObject.name_);
    }));
  }
}

}
}
