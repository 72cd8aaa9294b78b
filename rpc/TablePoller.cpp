#include "TablePoller.hpp"

#include "TableFollower.hpp"

#include <chrono>

namespace cactuspitch {

namespace detail {

constexpr TimeMs kRetryMs = 100;
/// Shortest time between two polls that brought nothing new, should an
/// assigner answer without waiting.
constexpr TimeMs kMinPollMs = 20;

}

TableQuestioner::TableQuestioner(const Clock& aClock,
                                 const TableFollowerOptions& aOptions,
                                 std::string aAddress)
  : clock_(aClock)
  , channel_(std::move(aAddress),
             static_cast<int>(aOptions.connectTimeoutMs_),
             static_cast<int>(aOptions.longPollMs_ + aOptions.answerSlackMs_),
             aOptions.secret_)
{
}

absl::StatusOr<TableAnswer> TableQuestioner::Ask(
  wire::GetTablesRequest aQuestion,
  TimeMs aWaitMs)
{
  TableAnswer result;
  aQuestion.waitMs = static_cast<int32_t>(aWaitMs);
  const auto status = channel_.Run([&](wire::AssignerPeerClient& aClient) {
    if (instance_.empty()) {
      wire::ProcessStatus process;
      aClient.GetStatus(process);
      instance_ = process.instance;
    }
    result.sentMs_ = clock_.NowMs();
    aClient.GetTables(result.answer_, aQuestion);
  });
  if (!status.ok()) {
    // Another instance may answer at this address next time.
    instance_.clear();
    return status;
  }
  result.source_ = { channel_.Address(), instance_ };
  return result;
}

TablePoller::TablePoller(const Clock& aClock,
                         const TableFollowerOptions& aOptions,
                         std::string aAddress,
                         Hooks aHooks)
  : clock_(aClock)
  , longPollMs_(aOptions.longPollMs_)
  , questioner_(aClock, aOptions, std::move(aAddress))
  , hooks_(std::move(aHooks))
  , thread_([this] { Run(); })
{
}

TablePoller::~TablePoller()
{
  RequestStop();
  thread_.join();
}

void TablePoller::RequestStop()
{
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  stopChanged_.notify_all();
}

void TablePoller::Run()
{
  while (!WaitStopped(0)) {
    const TimeMs start = clock_.NowMs();
    const auto answer = questioner_.Ask(hooks_.question_(), longPollMs_);
    silent_ = !answer.ok();
    if (!answer.ok()) {
      WaitStopped(detail::kRetryMs);
      continue;
    }
    const bool isNewer = hooks_.accept_(*answer);
    if (!isNewer && clock_.NowMs() - start < detail::kMinPollMs) {
      WaitStopped(detail::kMinPollMs);
    }
  }
  ended_ = true;
}

bool TablePoller::WaitStopped(TimeMs aTimeoutMs)
{
  std::unique_lock lock(mutex_);
  return stopChanged_.wait_for(
    lock, std::chrono::milliseconds(aTimeoutMs), [this] { return stopping_; });
}

}
