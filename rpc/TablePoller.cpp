#include "TablePoller.hpp"

#include "TableFollower.hpp"

#include <chrono>

namespace cactuspitch {

namespace detail {

constexpr TimeMs kRetryIntervalMs = 100;
/// Minimum time between two polls that returned nothing new, in case an
/// assigner responds without waiting.
constexpr TimeMs kMinPollIntervalMs = 20;

}

TableClient::TableClient(const Clock& aClock,
                         const TableFollowerOptions& aOptions,
                         std::string aAddress)
  : clock_(aClock)
  , channel_(
      std::move(aAddress),
      static_cast<int>(aOptions.connectTimeoutMs_),
      static_cast<int>(aOptions.longPollMs_ + aOptions.responseTimeoutMs_),
      aOptions.secret_)
{
}

absl::StatusOr<TableResponse> TableClient::Fetch(
  wire::GetTablesRequest aRequest,
  TimeMs aWaitMs)
{
  TableResponse result;
  aRequest.waitMs = static_cast<int32_t>(aWaitMs);
  const auto status = channel_.Run([&](wire::AssignerPeerClient& aClient) {
    if (instance_.empty()) {
      wire::ProcessStatus process;
      aClient.GetStatus(process);
      instance_ = process.instance;
    }
    result.sentMs_ = clock_.NowMs();
    aClient.GetTables(result.response_, aRequest);
  });
  if (!status.ok()) {
    // Another instance may respond at this address next time.
    instance_.clear();
    return status;
  }
  result.source_ = { channel_.Address(), instance_ };
  return result;
}

TablePoller::TablePoller(const Clock& aClock,
                         const TableFollowerOptions& aOptions,
                         std::string aAddress,
                         Callbacks aCallbacks)
  : clock_(aClock)
  , longPollMs_(aOptions.longPollMs_)
  , client_(aClock, aOptions, std::move(aAddress))
  , callbacks_(std::move(aCallbacks))
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
  while (!WaitForStop(0)) {
    const TimeMs start = clock_.NowMs();
    const auto response = client_.Fetch(callbacks_.makeRequest_(), longPollMs_);
    silent_ = !response.ok();
    if (!response.ok()) {
      WaitForStop(detail::kRetryIntervalMs);
      continue;
    }
    const bool isNewer = callbacks_.onResponse_(*response);
    if (!isNewer && clock_.NowMs() - start < detail::kMinPollIntervalMs) {
      WaitForStop(detail::kMinPollIntervalMs);
    }
  }
  ended_ = true;
}

bool TablePoller::WaitForStop(TimeMs aTimeoutMs)
{
  std::unique_lock lock(mutex_);
  return stopChanged_.wait_for(
    lock, std::chrono::milliseconds(aTimeoutMs), [this] { return stopping_; });
}

}
