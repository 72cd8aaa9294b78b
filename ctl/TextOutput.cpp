#include "TextOutput.hpp"

#include "common/JsonText.hpp"
#include "common/Strings.hpp"

#include <algorithm>
#include <cmath>
#include <ctime>
#include <vector>

#include <absl/strings/str_format.h>

namespace cactuspitch {

namespace detail {

using Json = nlohmann::json;

/// Formats a scalar; strings are not quoted.
std::string FormatScalar(const Json& aValue)
{
  if (aValue.is_null()) {
    return "-";
  }
  if (aValue.is_number_float()) {
    const auto number = aValue.get<double>();
    return std::floor(number) == number ? absl::StrFormat("%.0f", number)
                                        : absl::StrFormat("%.3f", number);
  }
  return aValue.is_string() ? aValue.get<std::string>() : WriteJson(aValue);
}

std::string FormatUtcTime(const Json& aUnixMs)
{
  if (!aUnixMs.is_number()) {
    return "-";
  }
  constexpr int64_t kMsPerSecond = 1000;
  const std::time_t seconds = aUnixMs.get<int64_t>() / kMsPerSecond;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[32];
  return { text,
           std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%SZ", &parts) };
}

struct Column
{
  const char* title_;
  const char* member_;
};

bool IsTimeMember(std::string_view aMember)
{
  return aMember == "time" || aMember == "created" || aMember == "expires" ||
         aMember == "since";
}

std::string FormatCell(const Json& aRow, const char* aMember)
{
  const auto found = aRow.find(aMember);
  if (found == aRow.end()) {
    return "-";
  }
  return IsTimeMember(aMember) ? FormatUtcTime(*found) : FormatScalar(*found);
}

std::string FormatTable(const Json& aRows, const std::vector<Column>& aColumns)
{
  std::vector<std::vector<std::string>> lines(1);
  for (const auto& column : aColumns) {
    lines[0].emplace_back(column.title_);
  }
  for (const auto& row : aRows) {
    auto& line = lines.emplace_back();
    for (const auto& column : aColumns) {
      line.push_back(FormatCell(row, column.member_));
    }
  }
  std::string text;
  for (const auto& line : lines) {
    std::string row;
    for (size_t i = 0; i < line.size(); ++i) {
      size_t width = 0;
      for (const auto& other : lines) {
        width = std::max(width, other[i].size());
      }
      row += line[i];
      row.append(i + 1 < line.size() ? width - line[i].size() + 2 : 0, ' ');
    }
    AppendTo(text, row, "\n");
  }
  return text;
}

/// All members except arrays, one per line.
std::string FormatScalars(const Json& aBody)
{
  std::string text;
  for (const auto& [name, value] : aBody.items()) {
    if (!value.is_array()) {
      AppendTo(text,
               name,
               ": ",
               IsTimeMember(name) ? FormatUtcTime(value) : FormatScalar(value),
               "\n");
    }
  }
  return text;
}

struct Listing
{
  std::string_view command_;
  const char* member_;
  std::vector<Column> columns_;
};

const std::vector<Listing>& Listings()
{
  static const std::vector<Listing> kListings = {
    { "exceptions",
      "exceptions",
      { { "id", "id" },
        { "scope", "scope" },
        { "field", "field" },
        { "value", "value" },
        { "in force", "inForce" },
        { "author", "author" },
        { "created", "created" },
        { "expires", "expires" },
        { "reason", "reason" } } },
    { "preview",
      "differences",
      { { "target", "target" },
        { "field", "field" },
        { "from", "from" },
        { "to", "to" } } },
    { "history",
      "changes",
      { { "version", "version" },
        { "time", "time" },
        { "author", "author" },
        { "summary", "summary" },
        { "reason", "reason" } } },
    { "versions",
      "processes",
      { { "program", "program" },
        { "instance", "instance" },
        { "version", "version" },
        { "confirmed age ms", "confirmedAgeMs" },
        { "error", "error" } } },
    { "slices",
      "slices",
      { { "begin", "begin" },
        { "end", "end" },
        { "owner", "owner" },
        { "standby", "standby" },
        { "epoch", "epoch" },
        { "load", "load" } } },
    { "moves",
      "moves",
      { { "time", "time" },
        { "service", "service" },
        { "begin", "begin" },
        { "from", "from" },
        { "to", "to" },
        { "epoch", "epoch" },
        { "gap ms", "gapMs" },
        { "reason", "reason" } } },
    { "quarantine",
      "entries",
      { { "fingerprint", "fingerprint" },
        { "crashes", "crashes" },
        { "quarantined", "quarantined" },
        { "expires in ms", "expiresInMs" },
        { "reason", "reason" } } },
  };
  return kListings;
}

std::string FormatRules(const Json& aBody)
{
  auto rows = Json::array();
  for (auto rule : aBody.value("rules", Json::array())) {
    if (rule.contains("exception")) {
      const auto& exception = rule["exception"];
      rule["why"] = Concat("exception ",
                           FormatScalar(exception.at("id")),
                           " by ",
                           FormatScalar(exception.at("author")),
                           ": ",
                           FormatScalar(exception.at("reason")));
    } else {
      rule["why"] = "default";
    }
    rows.push_back(std::move(rule));
  }
  return Concat("version: ",
                FormatScalar(aBody.value("version", Json())),
                "\n",
                FormatTable(rows,
                            { { "field", "field" },
                              { "value", "value" },
                              { "unit", "unit" },
                              { "why", "why" } }));
}

std::string FormatDefaults(const Json& aBody)
{
  auto rows = Json::array();
  const auto defaults = aBody.value("defaults", Json::object());
  for (auto field : aBody.value("fields", Json::array())) {
    field["value"] = defaults.value(FormatScalar(field.at("name")), Json());
    rows.push_back(std::move(field));
  }
  return Concat("version: ",
                FormatScalar(aBody.value("version", Json())),
                "\n",
                FormatTable(rows,
                            { { "field", "name" },
                              { "value", "value" },
                              { "unit", "unit" },
                              { "min", "min" },
                              { "max", "max" },
                              { "help", "help" } }));
}

std::string FormatMeasures(const Json& aBody)
{
  auto rows = Json::array();
  for (auto [service, measures] :
       aBody.value("services", Json::object()).items()) {
    measures["service"] = service;
    rows.push_back(std::move(measures));
  }
  return FormatTable(rows,
                     { { "service", "service" },
                       { "imbalance", "imbalance" },
                       { "churn %/min", "churnLastMinutePercent" },
                       { "peak churn %/min", "churnPeakPercent" },
                       { "by", "churnWeightedBy" },
                       { "unavailable s", "unavailableSeconds" },
                       { "longest gap ms", "longestGapMs" } });
}

std::string FormatSlo(const Json& aBody)
{
  constexpr double kPercent = 100;
  std::string text =
    Concat(FormatScalar(aBody.value("accuracy", Json(""))), "\n");
  for (const auto& objective : aBody.value("objectives", Json::array())) {
    absl::StrAppendFormat(
      &text,
      "\n%s %s %.3f%%: budget left %.1f%%%s%s\n",
      FormatScalar(objective.at("service")),
      FormatScalar(objective.at("objective")),
      objective.at("targetPercent").get<double>(),
      objective.at("budgetLeft").get<double>() * kPercent,
      objective.at("fastBurn").get<bool>() ? ", FAST BURN" : "",
      objective.at("slowBurn").get<bool>() ? ", SLOW BURN" : "");
    text += FormatTable(objective.at("windows"),
                        { { "window", "window" },
                          { "requests", "requests" },
                          { "missed", "bad" },
                          { "burn", "burn" } });
    if (!objective.at("causes").empty()) {
      text += FormatTable(objective.at("causes"),
                          { { "cause (24h)", "cause" },
                            { "server", "server" },
                            { "failure domain", "failureDomain" },
                            { "requests", "requests" },
                            { "share", "shareOfBad" } });
    }
  }
  return text;
}

using Formatter = std::string (*)(const Json&);

constexpr std::pair<std::string_view, Formatter> kFormatters[] = {
  { "rules", &FormatRules },
  { "defaults", &FormatDefaults },
  { "measures", &FormatMeasures },
  { "slo", &FormatSlo },
};

}

std::string FormatResponse(std::string_view aCommand,
                           const nlohmann::json& aBody)
{
  // The response to a change has the same members for every subcommand.
  if (!aBody.contains("outcome") && !aBody.contains("released")) {
    for (const auto& [command, formatter] : detail::kFormatters) {
      if (command == aCommand) {
        return formatter(aBody);
      }
    }
    for (const auto& listing : detail::Listings()) {
      if (listing.command_ == aCommand) {
        const auto rows = aBody.value(listing.member_, nlohmann::json::array());
        auto text = detail::FormatScalars(aBody);
        for (const char* member : { "lagging", "unanswered" }) {
          if (aBody.contains(member)) {
            AppendTo(text, member, ": ", WriteJson(aBody[member]), "\n");
          }
        }
        return text + detail::FormatTable(rows, listing.columns_);
      }
    }
  }
  auto text = detail::FormatScalars(aBody);
  for (const char* member : { "lagging", "unanswered" }) {
    if (aBody.contains(member)) {
      AppendTo(text, member, ": ", WriteJson(aBody[member]), "\n");
    }
  }
  return text;
}

std::string FormatError(const nlohmann::json& aBody)
{
  std::string text;
  if (aBody.contains("outcome")) {
    AppendTo(text,
             detail::FormatScalar(aBody.at("outcome")),
             ": ",
             detail::FormatScalar(aBody.value("error", nlohmann::json(""))),
             "\n");
  }
  for (const auto& finding : aBody.value("findings", nlohmann::json::array())) {
    AppendTo(text,
             detail::FormatCell(finding, "object"),
             ": ",
             detail::FormatCell(finding, "field"),
             " = '",
             detail::FormatCell(finding, "value"),
             "': ",
             detail::FormatCell(finding, "rule"),
             "\n");
  }
  if (aBody.contains("since")) {
    AppendTo(text,
             "changed since:\n",
             detail::FormatTable(aBody.at("since"),
                                 { { "version", "version" },
                                   { "time", "time" },
                                   { "author", "author" },
                                   { "summary", "summary" },
                                   { "reason", "reason" } }));
  }
  return text;
}

}
