#pragma once

#include "common/Clock.hpp"

#include <string>

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

namespace cactuspitch {

struct ApiClientOptions
{
  std::string address_;      ///< IP:port of an admin process
  std::string token_;        ///< bearer token; not sent when empty
  TimeMs timeoutMs_ = 30000; ///< time limit of one call
};

struct ApiClientResponse
{
  int status_ = 0;
  /// Parsed response body; is_discarded() when it is not JSON.
  nlohmann::json body_;
  std::string text_; ///< response body as received
};

/// Client of the administration API.
class ApiClient
{
public:
  ApiClient(const Clock& aClock, ApiClientOptions aOptions);

  /// Sends one request and waits for the response; any HTTP status is a
  /// success. Unavailable means that the request was not sent. After any other
  /// error of a POST the server may or may not have executed it.
  absl::StatusOr<ApiClientResponse> Get(const std::string& aTarget) const;
  absl::StatusOr<ApiClientResponse> Post(const std::string& aTarget,
                                         const nlohmann::json& aBody) const;

private:
  absl::StatusOr<ApiClientResponse> Call(const std::string& aMethod,
                                         const std::string& aTarget,
                                         const std::string& aBody) const;

  const Clock& clock_;
  ApiClientOptions options_;
};

}
