#include "SloPage.hpp"

#include "common/Strings.hpp"

#include <algorithm>
#include <ctime>

#include <absl/strings/str_format.h>
#include <absl/strings/str_replace.h>

namespace cactuspitch {

namespace detail {

constexpr double kWidth = 640;
constexpr double kHeight = 140;
constexpr double kMargin = 40;

constexpr const char kHead[] =
  "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">"
  "<title>SLO burn report</title><style>"
  "body{font:14px sans-serif;margin:2em;max-width:60em}"
  "table{border-collapse:collapse;margin:1em 0}"
  "td,th{border:1px solid #ccc;padding:3px 8px;text-align:right}"
  "td:first-child,th:first-child{text-align:left}"
  ".fast{color:#b00;font-weight:bold}.slow{color:#b60;font-weight:bold}"
  "svg{display:block;background:#fafafa;border:1px solid #ddd}"
  "</style></head><body><h1>SLO burn report</h1>\n";

std::string UtcText(int64_t aUnixMs)
{
  constexpr int64_t kMsPerSecond = 1000;
  const std::time_t seconds = aUnixMs / kMsPerSecond;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[32];
  const auto size =
    std::strftime(text, sizeof(text), "%Y-%m-%d %H:%M UTC", &parts);
  return { text, size };
}

std::string MinuteText(int64_t aMinute)
{
  constexpr int64_t kMsPerMinute = 60000;
  return UtcText(aMinute * kMsPerMinute);
}

/// SVG line chart of a series, labelled with the limits of both axes, with a
/// dashed horizontal line at aMark. Coordinates are in pixels.
std::string Plot(const std::string& aTitle,
                 const std::vector<SloPoint>& aSeries,
                 double aMark)
{
  if (aSeries.empty()) {
    return Concat("<p>", aTitle, ": no data yet.</p>\n");
  }
  const auto byValue = std::ranges::minmax(aSeries, {}, &SloPoint::value_);
  const double low = std::min({ 0.0, byValue.min.value_, aMark });
  const double high = std::max({ byValue.max.value_, aMark, low + 1e-9 });
  const auto first = aSeries.front().minute_;
  const auto span = std::max<int64_t>(aSeries.back().minute_ - first, 1);
  const auto atX = [&](int64_t aMinute) {
    return kMargin + (kWidth - 2 * kMargin) *
                       static_cast<double>(aMinute - first) /
                       static_cast<double>(span);
  };
  const auto atY = [&](double aValue) {
    return kHeight - kMargin / 2 -
           (kHeight - kMargin) * (aValue - low) / (high - low);
  };
  auto svg = absl::StrFormat(
    "<figure><figcaption>%s</figcaption><svg width=\"%.0f\" height=\"%.0f\" "
    "role=\"img\"><line x1=\"%.0f\" x2=\"%.0f\" y1=\"%.1f\" y2=\"%.1f\" "
    "stroke=\"#b00\" stroke-dasharray=\"4\"/><polyline fill=\"none\" "
    "stroke=\"#06c\" points=\"",
    aTitle,
    kWidth,
    kHeight,
    kMargin,
    kWidth - kMargin,
    atY(aMark),
    atY(aMark));
  for (const auto& point : aSeries) {
    absl::StrAppendFormat(
      &svg, "%.1f,%.1f ", atX(point.minute_), atY(point.value_));
  }
  absl::StrAppendFormat(
    &svg,
    "\"/><text x=\"2\" y=\"%.0f\" font-size=\"10\">%.2f</text>"
    "<text x=\"2\" y=\"%.0f\" font-size=\"10\">%.2f</text>"
    "<text x=\"%.0f\" y=\"%.0f\" font-size=\"10\">%s</text>"
    "<text x=\"%.0f\" y=\"%.0f\" font-size=\"10\" text-anchor=\"end\">%s"
    "</text></svg></figure>\n",
    atY(high) + 4,
    high,
    atY(low) + 4,
    low,
    kMargin,
    kHeight - 4,
    MinuteText(first),
    kWidth - kMargin,
    kHeight - 4,
    MinuteText(aSeries.back().minute_));
  return svg;
}

std::string WindowTable(const SloObjective& aObjective)
{
  std::string table =
    "<table><tr><th>window</th><th>requests</th><th>missed</th>"
    "<th>burn rate</th></tr>\n";
  for (const auto& window : aObjective.windows_) {
    absl::StrAppendFormat(
      &table,
      "<tr><td>%s</td><td>%d</td><td>%d</td><td>%.2f</td></tr>\n",
      window.name_,
      window.ratio_.total_,
      window.ratio_.bad_,
      window.burnRate_);
  }
  return table + "</table>\n";
}

std::string CauseTable(const SloObjective& aObjective)
{
  if (aObjective.contributions_.empty()) {
    return "<p>No request missed the objective in the last 24 hours.</p>\n";
  }
  constexpr double kPercent = 100;
  std::string table =
    "<table><tr><th>cause (24 h)</th><th>backend server</th>"
    "<th>failure domain</th><th>requests</th><th>share</th></tr>\n";
  for (const auto& contribution : aObjective.contributions_) {
    absl::StrAppendFormat(&table,
                          "<tr><td>%s</td><td>%s</td><td>%s</td><td>%d</td>"
                          "<td>%.1f %%</td></tr>\n",
                          EscapeHtml(contribution.cause_),
                          EscapeHtml(contribution.server_),
                          EscapeHtml(contribution.failureDomain_),
                          contribution.requests_,
                          contribution.shareOfBad_ * kPercent);
  }
  return table + "</table>\n";
}

std::string ObjectiveSection(const SloObjective& aObjective)
{
  constexpr double kPercent = 100;
  auto text = absl::StrFormat("<h2>%s: %s %.3f %%",
                              EscapeHtml(aObjective.service_),
                              aObjective.name_,
                              aObjective.targetPercent_);
  if (aObjective.latencyMs_ > 0) {
    absl::StrAppendFormat(&text, " within %d ms", aObjective.latencyMs_);
  }
  absl::StrAppendFormat(&text,
                        "</h2><p>Error budget left: %.1f %% of 30 days.",
                        aObjective.remainingBudget_ * kPercent);
  if (aObjective.fastBurn_) {
    text += " <span class=\"fast\">Fast burn alert.</span>";
  }
  if (aObjective.slowBurn_) {
    text += " <span class=\"slow\">Slow burn alert.</span>";
  }
  AppendTo(text,
           "</p>\n",
           WindowTable(aObjective),
           Plot("Burn rate, last 6 hours (dashed: slow burn alert)",
                aObjective.burnRateSeries_,
                kSlowBurn.burnRate_),
           Plot("Error budget left, last 30 days (dashed: used up)",
                aObjective.budgetSeries_,
                0),
           CauseTable(aObjective));
  return text;
}

}

std::string EscapeHtml(std::string_view aText)
{
  return absl::StrReplaceAll(ToAbsl(aText),
                             { { "&", "&amp;" },
                               { "<", "&lt;" },
                               { ">", "&gt;" },
                               { "\"", "&quot;" },
                               { "'", "&#39;" } });
}

std::string RenderSloPage(const SloReport& aReport)
{
  auto page = Concat(
    detail::kHead,
    "<p>Generated ",
    detail::UtcText(aReport.nowMs_),
    ", counters saved ",
    aReport.savedMs_ > 0 ? detail::UtcText(aReport.savedMs_) : "never",
    ". A burn rate of 1 uses up the error budget in exactly 30 days. A "
    "replaced router or admin process loses at most the last unsaved minute; "
    "nothing is counted twice.</p>\n");
  for (const auto& objective : aReport.objectives_) {
    page += detail::ObjectiveSection(objective);
  }
  return page + "</body></html>\n";
}

}
