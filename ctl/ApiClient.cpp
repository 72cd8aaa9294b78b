#include "ApiClient.hpp"

#include "common/HttpConnection.hpp"
#include "common/JsonText.hpp"
#include "common/Strings.hpp"

namespace cactuspitch {

ApiClient::ApiClient(const Clock& aClock, ApiClientOptions aOptions)
  : clock_(aClock)
  , options_(std::move(aOptions))
{
}

absl::StatusOr<ApiClientResponse> ApiClient::Get(
  const std::string& aTarget) const
{
  return Call("GET", aTarget, {});
}

absl::StatusOr<ApiClientResponse> ApiClient::Post(
  const std::string& aTarget,
  const nlohmann::json& aBody) const
{
  return Call("POST", aTarget, WriteJson(aBody));
}

absl::StatusOr<ApiClientResponse> ApiClient::Call(
  const std::string& aMethod,
  const std::string& aTarget,
  const std::string& aBody) const
{
  constexpr size_t kMaxResponseBytes = 64 * 1024 * 1024;
  HttpHeaders headers = { { "Content-Type", "application/json" } };
  if (!options_.token_.empty()) {
    headers.emplace_back("Authorization", Concat("Bearer ", options_.token_));
  }
  HttpConnection connection(clock_, options_.address_);
  const auto response =
    connection.Exchange({ aMethod, aTarget, headers, aBody },
                        clock_.NowMs() + options_.timeoutMs_,
                        kMaxResponseBytes);
  if (!response.ok()) {
    return response.status();
  }
  return ApiClientResponse{ response->head_.status_,
                            nlohmann::json::parse(
                              response->body_, nullptr, false),
                            response->body_ };
}

}
