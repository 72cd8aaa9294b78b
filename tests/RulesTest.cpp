#include "common/Strings.hpp"
#include "config/RuleResolver.hpp"

#include <algorithm>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

namespace cactuspitch {
namespace {

constexpr UnixMs kNowMs = 1000;

RuleException MakeException(std::string aId,
                            RuleScope aScope,
                            std::string aField,
                            int64_t aValue)
{
  return { std::move(aId), std::move(aScope), std::move(aField), aValue,
           "test",         "tester" };
}

RuleScope AnyScope()
{
  RuleScope scope;
  for (const auto dimension : kAllDimensions) {
    scope.Name(dimension) = *rc::gen::element<std::string>("", "a", "b");
  }
  return scope;
}

// Guards against a resolver that picks another exception than the most
// specific one, or explains a value by another exception than it used.
RC_GTEST_PROP(RuleResolver, MostSpecificExceptionWins, ())
{
  FleetDocument document;
  const int count = *rc::gen::inRange(0, 30);
  for (int i = 0; i < count; ++i) {
    auto scope = AnyScope();
    const bool taken =
      std::ranges::any_of(document.exceptions_, [&](const auto& aOther) {
        return aOther.scope_ == scope;
      });
    if (!taken && scope.Mask() != 0) {
      document.exceptions_.push_back(
        MakeException(Concat("e", i), scope, "maxAttempts", i % 10 + 1));
    }
  }
  const auto target = AnyScope();
  const RuleException* best = nullptr;
  for (const auto& exception : document.exceptions_) {
    const auto& scope = exception.scope_;
    const bool applies =
      std::ranges::all_of(kAllDimensions, [&](ScopeDimension aDimension) {
        return scope.Name(aDimension).empty() ||
               scope.Name(aDimension) == target.Name(aDimension);
      });
    if (applies && (!best || scope.Mask() > best->scope_.Mask())) {
      best = &exception;
    }
  }
  const RuleResolver resolver(document, kNowMs);
  const auto explained = resolver.Explain(target);
  const auto origin = *std::ranges::find_if(explained, [](const auto& aOrigin) {
    return aOrigin.field_->name_ == "maxAttempts";
  });
  RC_ASSERT((origin.exception_ != nullptr) == (best != nullptr));
  if (best) {
    RC_ASSERT(origin.exception_->id_ == best->id_);
    RC_ASSERT(resolver.Resolve(target).maxAttempts_ ==
              std::get<int64_t>(best->value_));
  }
}

// Guards against applying an exception that has expired.
TEST(RuleResolver, ExpiredExceptionIsLeftOut)
{
  FleetDocument document;
  document.exceptions_ = { MakeException(
    "e", { .service_ = "a" }, "maxAttempts", 7) };
  document.exceptions_[0].expiresMs_ = kNowMs + 1;
  const RuleResolver before(document, kNowMs);
  EXPECT_EQ(before.Resolve({ .service_ = "a" }).maxAttempts_, 7);
  EXPECT_EQ(before.NextExpiryMs(), kNowMs + 1);
  const RuleResolver after(document, kNowMs + 1);
  EXPECT_EQ(after.Resolve({ .service_ = "a" }).maxAttempts_, 3);
}

// Guards against a document that changes when it is serialized and parsed.
TEST(FleetDocument, RoundTripKeepsEverything)
{
  FleetDocument document;
  document.version_ = 4;
  document.writer_ = "writer";
  document.defaults_.latencyPercent_ = 97.5;
  document.exceptions_ = { MakeException(
    "e", { .service_ = "a", .key_ = "k e\xc3\xa9y" }, "maxAttempts", 7) };
  document.exceptions_[0].expiresMs_ = 99;
  document.changes_ = { { "w/1", 4, "tester", 5, "test", "text" } };
  const auto text = ToJson(document).dump();
  Findings findings;
  const auto parsed = ParseFleetDocument(text, findings);
  ASSERT_TRUE(parsed) << findings.ToText();
  EXPECT_EQ(ToJson(*parsed).dump(), text);
}

/// Findings of ValidateFleetDocument(), one per line.
std::string Check(std::vector<RuleException> aExceptions)
{
  FleetDocument document;
  document.exceptions_ = std::move(aExceptions);
  Findings findings;
  ValidateFleetDocument(document, kNowMs, findings);
  return findings.ToText();
}

// Guards against accepting two exceptions of which neither is more specific, or
// two with the same id.
TEST(FleetDocument, DuplicateScopesAndIdsAreRejected)
{
  const RuleScope scope{ .service_ = "a" };
  EXPECT_NE(Check({ MakeException("e1", scope, "maxAttempts", 2),
                    MakeException("e2", scope, "maxAttempts", 4) })
              .find("contradicts exception e1"),
            std::string::npos);
  EXPECT_NE(Check({ MakeException("e", scope, "maxAttempts", 2),
                    MakeException("e", scope, "queueLimit", 4) })
              .find("used more than once"),
            std::string::npos);
  EXPECT_EQ(
    Check({ MakeException("e1", scope, "maxAttempts", 2),
            MakeException("e2", { .server_ = "s" }, "maxAttempts", 4) }),
    "");
}

// Guards against accepting two exceptions that are valid alone but contradict
// each other for a target that is in both of their scopes.
TEST(FleetDocument, ContradictionInOverlappingScopesIsRejected)
{
  const auto timeout =
    MakeException("timeout", { .service_ = "a" }, "attemptTimeoutMs", 20000);
  const auto deadline =
    MakeException("deadline", { .server_ = "s" }, "maxDeadlineMs", 10000);
  EXPECT_EQ(Check({ timeout }), "");
  EXPECT_EQ(Check({ deadline }), "");
  EXPECT_EQ(Check({ timeout, deadline }),
            "exception timeout with deadline: attemptTimeoutMs = '20000': may "
            "not exceed maxDeadlineMs (10000) for service=a server=s\n");
}

}
}
