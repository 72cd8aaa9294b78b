// Malformed changes and requests against the real admin process: each must be
// refused with a finding that names the place, nothing may change, and the
// process must stay the same.

#include "MalformedRequests.hpp"
#include "bench/Measurement.hpp"
#include "common/HttpConnection.hpp"
#include "common/Strings.hpp"
#include "tests/ProcessFleet.hpp"
#include "tests/ReservedPort.hpp"

#include <algorithm>
#include <cstdio>
#include <set>

#include <nlohmann/json.hpp>

namespace cactuspitch {
namespace {

constexpr size_t kMinKinds = 200;
constexpr TimeMs kStartMs = 5000;
constexpr char kFirstChange[] =
  R"({"baseVersion":0,"author":"a","reason":"r","add":[{"id":"known",)"
  R"("scope":{"service":"known"},"field":"maxAttempts","value":2,)"
  R"("reason":"r"}]})";

/// Empty when the answer is a refusal with a finding for the place.
std::string Judge(const MalformedRequest& aRequest,
                  const absl::StatusOr<HttpResponse>& aAnswer)
{
  if (!aAnswer.ok()) {
    return std::string(ToStd(aAnswer.status().message()));
  }
  const auto status = aAnswer->head_.status_;
  const auto body = nlohmann::json::parse(aAnswer->body_, nullptr, false);
  if (status < 400 || status > 499 || !body.is_object()) {
    return Concat("status ", status, ": ", aAnswer->body_);
  }
  const auto findings = body.value("findings", nlohmann::json::array());
  const bool named = std::ranges::any_of(findings, [&](const auto& aFinding) {
    const auto place = Concat(aFinding.value("object", std::string()),
                              " ",
                              aFinding.value("field", std::string()));
    return place.find(aRequest.place_) != std::string::npos &&
           !aFinding.value("rule", std::string()).empty();
  });
  return named
           ? std::string()
           : Concat("no finding for '", aRequest.place_, "': ", aAnswer->body_);
}

int Run()
{
  const SteadyClock clock;
  const ReservedPort store;
  const ReservedPort admin;
  const ReservedPort none;
  ProcessFleet fleet(BINARY_DIR);
  fleet.Launch("store", "standin-store", { "--listen", store.Address() });
  fleet.Launch("admin",
               "cactuspitch-admin",
               { "--instance",
                 "i0",
                 "--failure-domain",
                 "giza-a",
                 "--listen",
                 admin.Address(),
                 "--store",
                 store.Address(),
                 "--assigners",
                 none.Address() });
  const bool ready = WaitFor(kStartMs, [&] {
    return HttpCall("POST", admin.Address(), "/v1/changes", kFirstChange)
      .has_value();
  });
  const auto before = HttpCall("GET", store.Address(), "/objects/config/fleet");
  if (!ready || !before) {
    return ReportFailure("bad-input", fleet.LogTail("admin"));
  }
  const auto pid = fleet.Pid("admin");
  std::set<std::string> names;
  int failures = 0;
  for (const auto& request : MakeMalformedRequests()) {
    names.insert(request.name_);
    HttpConnection connection(clock, admin.Address());
    const auto answer = connection.Exchange(
      { request.method_, request.target_, {}, request.body_ },
      clock.NowMs() + kStartMs,
      1 << 20);
    const auto wrong = Judge(request, answer);
    if (!wrong.empty()) {
      ++failures;
      std::printf("%s: %s\n",
                  request.name_.substr(0, 80).c_str(),
                  wrong.substr(0, 300).c_str());
    }
  }
  if (HttpCall("GET", store.Address(), "/objects/config/fleet") != before) {
    std::printf("the configuration was changed\n");
    ++failures;
  }
  if (!fleet.IsRunning("admin") || fleet.Pid("admin") != pid) {
    std::printf("the admin process was lost\n");
    ++failures;
  }
  const int kindStatus = ReportAtLeast(
    "bad-input-kinds", static_cast<double>(names.size()), "kinds", kMinKinds);
  return std::max(kindStatus,
                  ReportAtMost("bad-input", failures, "failures", 0));
}

}
}

int main()
{
  return cactuspitch::Run();
}
