#pragma once

#include "QueryReader.hpp"
#include "common/HttpServer.hpp"
#include "common/Metrics.hpp"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace cactuspitch {

struct ApiRequest
{
  /// Validation errors of the query and the body; filled by the handler.
  Findings findings_;
  std::string query_; ///< percent-encoded, without the question mark
  std::string body_;
};

struct ApiResponse
{
  int status_ = 200;
  std::string body_;
  std::string contentType_ = "application/json";
};

/// JSON response; invalid UTF-8 is replaced by U+FFFD.
ApiResponse JsonResponse(int aStatus, const nlohmann::json& aBody);
/// Error response: {"findings": [{object, field, value, rule}]}
ApiResponse FindingsResponse(int aStatus, const Findings& aFindings);
nlohmann::json ToJson(const Findings& aFindings);

struct ApiRoute
{
  std::string method_;
  std::string path_;
  std::function<ApiResponse(ApiRequest&)> handler_;
};

struct ApiServerOptions
{
  std::string listen_;
  /// Bearer token required by every route; empty disables authentication.
  std::string token_;
};

/// HTTP server of the administration API. Authenticates requests, enforces size
/// limits and calls the handler of the route. Also serves /_health, /_ready and
/// /_metrics, which require no token.
class ApiServer
{
public:
  ApiServer(ApiServerOptions aOptions,
            std::vector<ApiRoute> aRoutes,
            MetricsRegistry& aMetrics,
            std::function<bool()> aIsReady);

  absl::Status Start() { return server_.Start(); }
  /// Waits up to 5 s for the requests in flight, then stops the server.
  void Stop();

private:
  void Handle(HttpExchange& aExchange);
  ApiResponse Dispatch(HttpExchange& aExchange);
  ApiResponse MakeProbeResponse(std::string_view aPath) const;
  bool IsAuthorized(const HttpExchange& aExchange) const;

  ApiServerOptions options_;
  std::vector<ApiRoute> routes_;
  MetricsRegistry& metrics_;
  std::function<bool()> isReady_;
  HttpServer server_;
};

}
