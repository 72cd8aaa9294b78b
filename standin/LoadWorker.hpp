#pragma once

#include "LoadOptions.hpp"
#include "LoadReport.hpp"
#include "LoadSchedule.hpp"
#include "ReadinessChecker.hpp"
#include "common/Clock.hpp"
#include "common/HttpConnection.hpp"

#include <functional>
#include <memory>
#include <string>

namespace cactuspitch {

/// Sends requests one at a time over one connection. Connects to the next entry
/// instance when one fails or isn't ready, as the platform's load balancer
/// would.
class LoadWorker
{
public:
  using Observer = std::function<void(const LoadResult&, const std::string&)>;

  /// aIndex selects the first target. aObserver, which may be empty, is called
  /// with the result and the request id of each attempt.
  LoadWorker(const Clock& aClock,
             const LoadOptions& aOptions,
             LoadSchedule& aSchedule,
             const ReadinessChecker& aReadiness,
             size_t aIndex,
             int64_t aStartUs,
             Observer aObserver);

  /// Sends requests until the load ends.
  void Run();
  const LoadReport& Report() const { return report_; }

private:
  LoadResult Send(const ScheduledRequest& aScheduled);
  /// Ensures that there is an open connection to a ready target. Returns false
  /// when no target accepts one.
  bool Connect(TimeMs aDeadlineMs);
  HttpRequest MakeRequest(const ScheduledRequest& aScheduled) const;
  std::string RequestId(const ScheduledRequest& aScheduled) const;
  /// Sends a request on the open connection and reads the whole response.
  void Exchange(const HttpRequest& aRequest,
                TimeMs aDeadlineMs,
                LoadResult& aResult);
  /// Sets the outcome from the status and the headers.
  void ClassifyResponse(const HttpResponseHead& aHead,
                        LoadResult& aResult) const;
  /// Reads the body and checks that it belongs to the request; sets aServer to
  /// the server that the body names.
  LoadOutcome CheckBody(const ScheduledRequest& aScheduled,
                        TimeMs aDeadlineMs,
                        std::string& aServer);
  bool ShouldRetry(const LoadResult& aResult) const;

  const Clock& clock_;
  const LoadOptions& options_;
  LoadSchedule& schedule_;
  const ReadinessChecker& readiness_;
  size_t target_;
  Observer observer_;
  LoadReport report_;
  std::unique_ptr<HttpConnection> connection_;
};

}
