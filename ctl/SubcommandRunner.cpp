#include "SubcommandRunner.hpp"

#include "RequestExplanation.hpp"
#include "TextOutput.hpp"
#include "common/PercentEncoding.hpp"
#include "common/Strings.hpp"

#include <filesystem>
#include <fstream>
#include <ostream>
#include <random>

namespace cactuspitch {

namespace detail {

/// Flags of the read-only subcommands and the query parameters that they set.
constexpr std::pair<const char*, const char*> kQueryParameters[] = {
  { "service", "service" },      { "failure-domain", "failureDomain" },
  { "server", "server" },        { "key", "key" },
  { "since", "since" },          { "version", "version" },
  { "offset", "offset" },        { "limit", "limit" },
  { "timeout-ms", "timeoutMs" },
};

std::string RequestTarget(const std::string& aPath,
                          const CtlArguments& aArguments)
{
  auto target = Concat("/v1/", aPath);
  char separator = '?';
  for (const auto& [flag, parameter] : kQueryParameters) {
    const auto value = aArguments.Value(flag);
    if (!value.empty()) {
      AppendTo(target,
               std::string(1, separator),
               parameter,
               "=",
               PercentEncode(value));
      separator = '&';
    }
  }
  return target;
}

std::string MakeChangeId()
{
  std::random_device random;
  const auto high = static_cast<uint64_t>(random()) << 32U;
  return Concat("ctl-", absl::Hex(high | random()));
}

/// JSON number if aText is one, otherwise a JSON string.
nlohmann::json ParseValue(const std::string& aText)
{
  auto parsed = nlohmann::json::parse(aText, nullptr, false);
  return parsed.is_number() ? parsed : nlohmann::json(aText);
}

bool IsChange(const CtlArguments& aArguments)
{
  const std::string name = aArguments.command_->name_;
  return name == "preview" || !aArguments.Values("set").empty() ||
         !aArguments.Values("add").empty() ||
         !aArguments.Values("retire").empty();
}

CtlExit ExitForStatus(const ApiClientResponse& aResponse)
{
  constexpr int kConflict = 409;
  constexpr int kUnavailable = 503;
  constexpr int kGatewayTimeout = 504;
  constexpr int kFirstError = 400;
  constexpr int kFirstServerError = 500;
  if (aResponse.status_ == kConflict) {
    return CtlExit::Conflict;
  }
  if (aResponse.status_ == kGatewayTimeout) {
    return CtlExit::Unknown;
  }
  if (aResponse.status_ == kUnavailable) {
    return CtlExit::Unreachable;
  }
  if (aResponse.status_ >= kFirstServerError) {
    return CtlExit::Failure;
  }
  if (aResponse.status_ >= kFirstError) {
    return CtlExit::Usage;
  }
  return aResponse.body_.is_discarded() ? CtlExit::Failure : CtlExit::Success;
}

/// Exit status of a successful response: its body can report a version that is
/// not in force, a burn rate alert or a release that some servers missed.
CtlExit ExitForBody(const nlohmann::json& aBody)
{
  if (aBody.contains("inForce") && !aBody.at("inForce").get<bool>()) {
    return CtlExit::NotInForce;
  }
  for (const auto& objective :
       aBody.value("objectives", nlohmann::json::array())) {
    if (objective.value("fastBurn", false) ||
        objective.value("slowBurn", false)) {
      return CtlExit::Alert;
    }
  }
  const bool isPartial =
    aBody.contains("released") && !aBody.at("unanswered").empty();
  return isPartial ? CtlExit::Failure : CtlExit::Success;
}

}

SubcommandRunner::SubcommandRunner(const ApiClient& aClient,
                                   std::ostream& aOut,
                                   std::ostream& aError)
  : client_(aClient)
  , out_(aOut)
  , error_(aError)
{
}

CtlExit SubcommandRunner::Run(const CtlArguments& aArguments)
{
  if (detail::IsChange(aArguments)) {
    return Change(aArguments);
  }
  if (!aArguments.Value("release").empty()) {
    return Release(aArguments);
  }
  if (!aArguments.Value("html").empty()) {
    return WriteHtmlReport(aArguments);
  }
  if (!aArguments.command_->usesAdmin_) {
    return Explain(aArguments);
  }
  return Show(aArguments);
}

CtlExit SubcommandRunner::Explain(const CtlArguments& aArguments)
{
  Findings findings;
  std::vector<LogLine> lines;
  for (const auto& path : aArguments.Values("log")) {
    std::ifstream file(path);
    if (!file) {
      findings.Add("command line", "--log", path, "cannot be read");
      continue;
    }
    const auto source = std::filesystem::path(path).stem().string();
    for (std::string text; std::getline(file, text);) {
      if (auto line = ParseLogLine(text, source)) {
        lines.push_back(std::move(*line));
      }
    }
  }
  if (!findings.IsEmpty()) {
    return ReportFindings(findings);
  }
  const auto explanation = ExplainRequest(lines, aArguments.Value("id"));
  out_ << ToText(explanation);
  return explanation.found_ ? CtlExit::Success : CtlExit::Failure;
}

CtlExit SubcommandRunner::ReportFindings(const Findings& aFindings)
{
  error_ << aFindings.ToText();
  return CtlExit::Usage;
}

CtlExit SubcommandRunner::Show(const CtlArguments& aArguments)
{
  const auto target =
    detail::RequestTarget(aArguments.command_->name_, aArguments);
  return ReportResponse(aArguments, client_.Get(target), CtlExit::Unreachable);
}

nlohmann::json SubcommandRunner::MakeChange(const CtlArguments& aArguments,
                                            int64_t aBaseVersion,
                                            Findings& aFindings) const
{
  nlohmann::json change = { { "baseVersion", aBaseVersion } };
  const bool isPreview = std::string(aArguments.command_->name_) == "preview";
  for (const char* name : { "author", "reason" }) {
    const auto value = aArguments.Value(name);
    if (!value.empty() || isPreview) {
      change[name] = value.empty() ? "preview" : value;
    }
  }
  for (const auto& text : aArguments.Values("set")) {
    const auto equals = text.find('=');
    if (equals == std::string::npos) {
      aFindings.Add("command line", "--set", text, "expected FIELD=VALUE");
      continue;
    }
    change["defaults"][text.substr(0, equals)] =
      detail::ParseValue(text.substr(equals + 1));
  }
  for (const auto& text : aArguments.Values("add")) {
    auto exception = nlohmann::json::parse(text, nullptr, false);
    if (!exception.is_object()) {
      aFindings.Add("command line", "--add", text, "expected a JSON object");
      continue;
    }
    change["add"].push_back(std::move(exception));
  }
  for (const auto& id : aArguments.Values("retire")) {
    change["retire"].push_back(id);
  }
  return change;
}

CtlExit SubcommandRunner::Change(const CtlArguments& aArguments)
{
  Findings findings;
  int64_t base = 0;
  const auto baseText = aArguments.Value("base-version");
  if (!baseText.empty() && !ParseNumber(baseText, base)) {
    findings.Add(
      "command line", "--base-version", baseText, "expected an integer");
  }
  if (!findings.IsEmpty()) {
    return ReportFindings(findings);
  }
  if (baseText.empty()) {
    const auto newest = client_.Get("/v1/history");
    if (!newest.ok() || detail::ExitForStatus(*newest) != CtlExit::Success) {
      return ReportResponse(aArguments, newest, CtlExit::Unreachable);
    }
    base = newest->body_.value("version", int64_t{ 0 });
  }
  auto change = MakeChange(aArguments, base, findings);
  if (!findings.IsEmpty()) {
    return ReportFindings(findings);
  }
  if (std::string(aArguments.command_->name_) == "preview") {
    return ReportResponse(
      aArguments, client_.Post("/v1/preview", change), CtlExit::Unreachable);
  }
  auto id = aArguments.Value("change-id");
  if (id.empty()) {
    id = detail::MakeChangeId();
  }
  change["id"] = id;
  // Sending the change again is safe: a change id is accepted only once.
  auto response = client_.Post("/v1/changes", change);
  if (!response.ok() && !absl::IsUnavailable(response.status())) {
    response = client_.Post("/v1/changes", change);
    if (absl::IsUnavailable(response.status())) {
      response = absl::UnknownError(response.status().message());
    }
  }
  if (!response.ok() && !absl::IsUnavailable(response.status())) {
    error_ << "outcome unknown; repeat with --change-id " << id
           << " --base-version " << base << "\n";
  }
  return ReportResponse(aArguments, response, CtlExit::Unknown);
}

CtlExit SubcommandRunner::Release(const CtlArguments& aArguments)
{
  nlohmann::json body = { { "fingerprint", aArguments.Value("release") } };
  for (const char* name : { "author", "reason" }) {
    if (!aArguments.Values(name).empty()) {
      body[name] = aArguments.Value(name);
    }
  }
  return ReportResponse(
    aArguments, client_.Post("/v1/quarantine/release", body), CtlExit::Unknown);
}

CtlExit SubcommandRunner::WriteHtmlReport(const CtlArguments& aArguments)
{
  const auto response =
    client_.Get(detail::RequestTarget("slo.html", aArguments));
  constexpr int kOk = 200;
  if (!response.ok() || response->status_ != kOk) {
    return ReportResponse(aArguments, response, CtlExit::Unreachable);
  }
  const auto path = aArguments.Value("html");
  std::ofstream file(path);
  file << response->text_;
  file.close();
  if (!file) {
    error_ << "cannot write " << path << "\n";
    return CtlExit::Failure;
  }
  return CtlExit::Success;
}

CtlExit SubcommandRunner::ReportResponse(
  const CtlArguments& aArguments,
  const absl::StatusOr<ApiClientResponse>& aResponse,
  CtlExit aOnLostResponse)
{
  if (!aResponse.ok()) {
    error_ << "no response from " << aArguments.admin_ << ": "
           << std::string(ToStd(aResponse.status().message())) << "\n";
    return absl::IsUnavailable(aResponse.status()) ? CtlExit::Unreachable
                                                   : aOnLostResponse;
  }
  const auto exit = detail::ExitForStatus(*aResponse);
  const auto& body = aResponse->body_;
  if (aArguments.isJson_ || !body.is_object()) {
    out_ << aResponse->text_;
  } else if (exit == CtlExit::Success) {
    out_ << FormatResponse(aArguments.command_->name_, body);
  } else {
    error_ << FormatError(body);
  }
  return exit == CtlExit::Success ? detail::ExitForBody(body) : exit;
}

}
