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
  /// Collects what is wrong with query and body.
  Findings findings_;
  std::string query_;
  std::string body_;
};

struct ApiResponse
{
  int status_ = 200;
  std::string body_;
  std::string contentType_ = "application/json";
};

/// JSON answer; text that is not UTF-8 is replaced.
ApiResponse JsonResponse(int aStatus, const nlohmann::json& aBody);
/// {"findings": [{object, field, value, rule}]}
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
  /// Bearer token that every route asks for; empty: none.
  std::string token_;
};

/// HTTP server of the administration API: authentication, size limits and
/// routing. Also answers /_health, /_ready and /_metrics, without a token.
class ApiServer
{
public:
  ApiServer(ApiServerOptions aOptions,
            std::vector<ApiRoute> aRoutes,
            MetricsRegistry& aMetrics,
            std::function<bool()> aIsReady);

  absl::Status Start() { return server_.Start(); }
  /// Finishes the requests in flight.
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
