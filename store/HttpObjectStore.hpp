#pragma once

#include "ObjectStore.hpp"
#include "common/Clock.hpp"
#include "common/HttpConnection.hpp"
#include "common/RepeatFilter.hpp"

#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace cactuspitch {

struct HttpObjectStoreOptions
{
  std::string address_; ///< IP:port
  TimeMs connectTimeoutMs_ = 500;
  /// Limit for a whole call; the wait time of a watch is added to it.
  TimeMs callTimeoutMs_ = 1000;
};

/// ObjectStore over the platform's HTTP interface. Thread-safe; concurrent
/// calls use separate connections.
class HttpObjectStore final : public ObjectStore
{
public:
  HttpObjectStore(const Clock& aClock, HttpObjectStoreOptions aOptions);

  absl::StatusOr<StoredObject> Get(const std::string& aKind,
                                   const std::string& aName) override;
  absl::StatusOr<std::vector<StoredObject>> List(
    const std::string& aKind) override;
  absl::StatusOr<int64_t> Put(const std::string& aKind,
                              const std::string& aName,
                              int64_t aExpectedVersion,
                              const std::string& aValue) override;
  absl::Status Delete(const std::string& aKind,
                      const std::string& aName,
                      int64_t aExpectedVersion) override;
  absl::StatusOr<std::vector<StoredObject>> Watch(const std::string& aKind,
                                                  int64_t aSince,
                                                  TimeMs aWaitMs,
                                                  int64_t& aRevision) override;

private:
  using Connection = std::unique_ptr<HttpConnection>;

  /// Leaves out objects that cannot be read.
  absl::StatusOr<std::vector<StoredObject>> ParseObjects(
    const std::string& aKind,
    const std::string& aBody,
    int64_t& aRevision);
  void ReportUnreadable(const std::string& aKind, std::string_view aText);
  absl::StatusOr<HttpResponse> Read(const std::string& aTarget,
                                    TimeMs aExtraTimeoutMs);
  absl::StatusOr<HttpResponse> Write(const HttpRequest& aRequest);
  /// Executes one HTTP exchange. aSent is set to whether the whole request was
  /// sent, so that the store may have executed it.
  absl::StatusOr<HttpResponse> Call(const HttpRequest& aRequest,
                                    TimeMs aExtraTimeoutMs,
                                    bool& aSent);
  absl::Status EnsureConnected(HttpConnection& aConnection,
                               TimeMs aDeadlineMs) const;
  Connection TakeConnection();
  void ReturnConnection(Connection aConnection);

  const Clock& clock_;
  HttpObjectStoreOptions options_;
  std::mutex mutex_;
  std::vector<Connection> idle_;
  RepeatFilter unreadable_; ///< reported objects, by the start of their text
};

}
