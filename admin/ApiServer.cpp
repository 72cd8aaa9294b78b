#include "ApiServer.hpp"

#include "common/JsonText.hpp"
#include "common/Log.hpp"
#include "common/ProcessSettings.hpp"
#include "common/Strings.hpp"
#include "config/ConfigChange.hpp"

#include <algorithm>
#include <exception>

#include <nlohmann/json.hpp>

namespace cactuspitch {

namespace detail {

constexpr TimeMs kStopTimeoutMs = 5000;
constexpr int kWorkerThreads = 32;
/// Shorter than the default, since every open connection occupies a thread.
constexpr int64_t kKeepAliveMs = 5000;

ApiResponse ErrorResponse(int aStatus,
                          std::string aField,
                          std::string_view aValue,
                          std::string aRule)
{
  Findings findings;
  findings.Add(
    "request", std::move(aField), std::string(aValue), std::move(aRule));
  return FindingsResponse(aStatus, findings);
}

}

nlohmann::json ToJson(const Findings& aFindings)
{
  auto list = nlohmann::json::array();
  for (const auto& finding : aFindings.All()) {
    list.push_back({ { "object", finding.object_ },
                     { "field", finding.field_ },
                     { "value", finding.value_ },
                     { "rule", finding.rule_ } });
  }
  return list;
}

ApiResponse JsonResponse(int aStatus, const nlohmann::json& aBody)
{
  return { aStatus, WriteJson(aBody) + "\n" };
}

ApiResponse FindingsResponse(int aStatus, const Findings& aFindings)
{
  return JsonResponse(aStatus, { { "findings", ToJson(aFindings) } });
}

ApiServer::ApiServer(ApiServerOptions aOptions,
                     std::vector<ApiRoute> aRoutes,
                     MetricsRegistry& aMetrics,
                     std::function<bool()> aIsReady)
  : options_(std::move(aOptions))
  , routes_(std::move(aRoutes))
  , metrics_(aMetrics)
  , isReady_(std::move(aIsReady))
  , server_({ .listen_ = options_.listen_,
              .threads_ = detail::kWorkerThreads,
              .keepAliveTimeoutMs_ = detail::kKeepAliveMs },
            [this](HttpExchange& aExchange) { Handle(aExchange); })
{
}

void ApiServer::Stop()
{
  server_.BeginDrain();
  server_.WaitIdle(detail::kStopTimeoutMs);
  server_.Stop();
}

void ApiServer::Handle(HttpExchange& aExchange)
{
  ApiResponse response;
  try {
    response = Dispatch(aExchange);
  } catch (const std::exception& failure) {
    // CivetWeb is C code, so no exception may propagate into it.
    Log(LogLevel::Error, "request failed", { { "reason", failure.what() } });
    response =
      detail::ErrorResponse(500, "path", aExchange.Path(), "internal error");
  }
  metrics_
    .GetCounter("cactuspitch_admin_requests_total",
                { { "status", std::to_string(response.status_) } })
    .Add();
  HttpHeaders headers = { { "Content-Type", response.contentType_ },
                          { "Cache-Control", "no-store" } };
  constexpr int kUnauthorized = 401;
  if (response.status_ == kUnauthorized) {
    headers.emplace_back("WWW-Authenticate", "Bearer");
  }
  aExchange.Respond(response.status_, headers, response.body_);
}

ApiResponse ApiServer::MakeProbeResponse(std::string_view aPath) const
{
  if (aPath == "/_metrics") {
    return { 200, metrics_.ToPrometheus(), "text/plain; version=0.0.4" };
  }
  const bool good = aPath == "/_health" || isReady_();
  return { good ? 200 : 503, good ? "ok\n" : "not ready\n", "text/plain" };
}

bool ApiServer::IsAuthorized(const HttpExchange& aExchange) const
{
  if (options_.token_.empty()) {
    return true;
  }
  constexpr std::string_view kScheme = "Bearer ";
  const auto header = aExchange.Header("Authorization");
  return header.size() > kScheme.size() &&
         EqualsIgnoreCase(header.substr(0, kScheme.size()), kScheme) &&
         IsSameSecret(options_.token_, header.substr(kScheme.size()));
}

ApiResponse ApiServer::Dispatch(HttpExchange& aExchange)
{
  const auto path = aExchange.Path();
  const auto method = aExchange.Method();
  if (method == "GET" &&
      (path == "/_health" || path == "/_ready" || path == "/_metrics")) {
    return MakeProbeResponse(path);
  }
  if (!IsAuthorized(aExchange)) {
    return detail::ErrorResponse(
      401, "Authorization", "", "a valid bearer token is required");
  }
  const auto hasPath = [&](const ApiRoute& aRoute) {
    return aRoute.path_ == path;
  };
  if (std::ranges::none_of(routes_, hasPath)) {
    return detail::ErrorResponse(404, "path", path, "no such resource");
  }
  const auto route = std::ranges::find_if(routes_, [&](const ApiRoute& aRoute) {
    return hasPath(aRoute) && aRoute.method_ == method;
  });
  if (route == routes_.end()) {
    return detail::ErrorResponse(
      405, "method", method, "method is not allowed for this resource");
  }
  const size_t limit = method == "GET" ? 0 : kMaxChangeBytes;
  auto body = aExchange.ReadBody(limit);
  if (!body.ok()) {
    return detail::ErrorResponse(
      absl::IsOutOfRange(body.status()) ? 413 : 400,
      "body",
      Concat(aExchange.ContentLength()),
      Concat("at most ", limit, " B, sent completely"));
  }
  ApiRequest request;
  request.query_ = std::string(aExchange.Query());
  request.body_ = std::move(*body);
  return route->handler_(request);
}

}
