#pragma once

#include "common/Clock.hpp"

#include <string>

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

namespace cactuspitch {

struct ApiClientOptions
{
  std::string address_; ///< IP:port of an admin process
  std::string token_;
  TimeMs timeoutMs_ = 30000;
};

struct ApiClientResponse
{
  int status_ = 0;
  /// Discarded when the answer is not JSON.
  nlohmann::json body_;
  std::string text_;
};

/// Client of the administration API.
class ApiClient
{
public:
  ApiClient(const Clock& aClock, ApiClientOptions aOptions);

  /// Unavailable: the request was not sent. Any other failure of a POST leaves
  /// open whether it was carried out.
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

/// Text in percent encoding.
std::string EncodeQuery(std::string_view aText);

}
