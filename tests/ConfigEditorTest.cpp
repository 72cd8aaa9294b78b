#include "config/ConfigEditor.hpp"

#include "FaultyStore.hpp"
#include "common/Strings.hpp"

#include <set>
#include <thread>

#include <gtest/gtest.h>

namespace cactuspitch {
namespace {

constexpr TimeMs kSubmitTimeoutMs = 5000;

ConfigChange AddException(int64_t aBase, const std::string& aId)
{
  ConfigChange change;
  change.baseVersion_ = aBase;
  change.author_ = "tester";
  change.reason_ = "test";
  RuleException exception;
  exception.id_ = aId;
  exception.scope_.service_ = aId;
  exception.field_ = "maxAttempts";
  exception.value_ = int64_t{ 5 };
  exception.reason_ = "test";
  change.add_ = { exception };
  return change;
}

class ConfigEditorTest : public testing::Test
{
protected:
  ChangeResult Submit(ConfigChange aChange)
  {
    return editor_.Submit(std::move(aChange),
                          clock_.NowMs() + kSubmitTimeoutMs);
  }

  SteadyClock clock_;
  FaultyStore store_;
  ConfigEditor editor_{ store_, clock_, [] { return 1000; }, "w" };
};

// Guards against a change that overwrites the change of a concurrent operator
// without reporting it.
TEST_F(ConfigEditorTest, StaleBaseShowsWhatChanged)
{
  EXPECT_EQ(Submit(AddException(0, "a")).version_, 1);
  const auto result = Submit(AddException(0, "b"));
  EXPECT_EQ(result.outcome_, ChangeOutcome::Conflict);
  ASSERT_EQ(result.since_.size(), 1u);
  EXPECT_EQ(result.since_[0].summary_, "+a maxAttempts=5 (service=a)");
  EXPECT_FALSE(result.isTruncated_);
}

// Guards against applying a change twice when its client sends it again.
TEST_F(ConfigEditorTest, RepeatedIdIsTheSameChange)
{
  auto change = AddException(0, "a");
  change.id_ = "client/1";
  EXPECT_EQ(Submit(change).version_, 1);
  EXPECT_EQ(Submit(AddException(1, "b")).version_, 2);
  const auto repeated = Submit(change);
  EXPECT_EQ(repeated.outcome_, ChangeOutcome::Accepted);
  EXPECT_EQ(repeated.version_, 1);
}

// Guards against starting again at version 1 when the store loses the object.
TEST_F(ConfigEditorTest, VersionNeverDecreases)
{
  ASSERT_EQ(Submit(AddException(0, "a")).version_, 1);
  const auto object = store_.Get(kConfigKind, kConfigName);
  ASSERT_TRUE(store_.Delete(kConfigKind, kConfigName, object->version_).ok());
  EXPECT_EQ(Submit(AddException(0, "b")).outcome_, ChangeOutcome::Invalid);
  EXPECT_TRUE(absl::IsNotFound(store_.Get(kConfigKind, kConfigName).status()));
}

// Guards against reporting that nothing was written when the request or its
// response was lost and the write may have succeeded.
TEST_F(ConfigEditorTest, OutcomeIsUnknownWhenNothingCanBeReadBack)
{
  store_.SetFaults({ .lostRequest_ = 100 });
  const auto lost = editor_.Submit(AddException(0, "a"), clock_.NowMs() + 100);
  EXPECT_EQ(lost.outcome_, ChangeOutcome::Unknown);
  store_.SetFaults({ .unavailable_ = 100 });
  const auto down = editor_.Submit(AddException(0, "a"), clock_.NowMs() + 100);
  EXPECT_EQ(down.outcome_, ChangeOutcome::Unavailable);
}

// Guards against replacing a malformed object with the next change.
TEST_F(ConfigEditorTest, MalformedObjectIsKept)
{
  ASSERT_TRUE(store_.Put(kConfigKind, kConfigName, 0, "{}").ok());
  EXPECT_EQ(Submit(AddException(0, "a")).outcome_, ChangeOutcome::Invalid);
  EXPECT_EQ(store_.Get(kConfigKind, kConfigName)->value_, "{}");
}

// Guards against rejecting a read as outdated because another thread of the
// same editor wrote a newer version during the read.
TEST_F(ConfigEditorTest, ThreadsOfOneEditorSeeOnlyConflicts)
{
  std::vector<std::thread> operators;
  for (int i = 0; i < 4; ++i) {
    operators.emplace_back([&, i] {
      int64_t base = 0;
      for (int change = 0; change < 50;) {
        const auto result = Submit(AddException(base, Concat(i, "-", change)));
        base = result.version_;
        change += result.outcome_ == ChangeOutcome::Accepted ? 1 : 0;
        ASSERT_TRUE(result.outcome_ == ChangeOutcome::Accepted ||
                    result.outcome_ == ChangeOutcome::Conflict)
          << result.findings_.ToText();
      }
    });
  }
  for (auto& thread : operators) {
    thread.join();
  }
  EXPECT_EQ(editor_.Read()->document_.version_, 200);
}

// Guards against lost, repeated or reverted changes of concurrent editors when
// the store loses requests and responses and delays writes.
TEST_F(ConfigEditorTest, ConcurrentEditorsNeitherLoseNorRepeatChanges)
{
  store_.SetFaults({ .unavailable_ = 5,
                     .lostResponse_ = 10,
                     .lostRequest_ = 5,
                     .delayedWrite_ = 10 });
  std::mutex mutex;
  std::map<int64_t, std::string> accepted;
  std::vector<std::thread> operators;
  for (int i = 0; i < 4; ++i) {
    operators.emplace_back([&, i] {
      ConfigEditor editor(
        store_, clock_, [] { return 1000; }, Concat("w", i));
      int64_t base = 0;
      for (int change = 0; change < 10;) {
        const auto id = Concat("e", i, "-", change);
        const auto result = editor.Submit(AddException(base, id),
                                          clock_.NowMs() + kSubmitTimeoutMs);
        if (result.outcome_ != ChangeOutcome::Accepted) {
          ASSERT_EQ(result.outcome_, ChangeOutcome::Conflict);
          base = result.version_;
          continue;
        }
        base = result.version_;
        ++change;
        const std::lock_guard lock(mutex);
        EXPECT_TRUE(accepted.emplace(base, id).second);
      }
    });
  }
  for (auto& thread : operators) {
    thread.join();
  }
  store_.SetFaults({});
  const auto stored = editor_.Read();
  ASSERT_TRUE(stored.ok());
  const auto& document = stored->document_;
  ASSERT_EQ(document.version_, 40);
  ASSERT_EQ(document.exceptions_.size(), 40u);
  for (const auto& [version, id] : accepted) {
    EXPECT_EQ(document.exceptions_[static_cast<size_t>(version) - 1].id_, id);
  }
}

}
}
