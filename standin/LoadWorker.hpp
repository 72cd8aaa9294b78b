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

/// One connection of the load: sends one request after another, and moves to
/// the next entry instance when one refuses, as the platform's balancer does.
class LoadWorker
{
public:
  using Observer = std::function<void(const LoadResult&, const std::string&)>;

  /// aObserver gets every result and its request id; may be empty.
  LoadWorker(const Clock& aClock,
             const LoadOptions& aOptions,
             LoadSchedule& aSchedule,
             const ReadinessChecker& aReadiness,
             size_t aIndex,
             int64_t aStartUs,
             Observer aObserver);

  void Run();
  const LoadReport& Report() const { return report_; }

private:
  LoadResult Send(const ScheduledRequest& aScheduled);
  bool Connect(TimeMs aDeadlineMs);
  HttpRequest MakeRequest(const ScheduledRequest& aScheduled) const;
  std::string RequestId(const ScheduledRequest& aScheduled) const;
  /// Sends on the open connection and reads the whole answer.
  void Exchange(const HttpRequest& aRequest,
                TimeMs aDeadlineMs,
                LoadResult& aResult);
  void ClassifyResponse(const HttpResponseHead& aHead,
                        LoadResult& aResult) const;
  /// Reads the body and checks that it belongs to the request.
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
