#include "SloCounts.hpp"

#include "common/JsonText.hpp"
#include "common/Strings.hpp"

#include <algorithm>
#include <cstdlib>
#include <vector>

#include <nlohmann/json.hpp>

namespace cactuspitch {

namespace detail {

nlohmann::json ToJson(const SloCells& aCells)
{
  auto list = nlohmann::json::array();
  for (const auto& [key, requests] : aCells) {
    list.push_back(
      { key.service_, key.cause_, key.server_, key.failureDomain_, requests });
  }
  return list;
}

SloCells ParseCells(const nlohmann::json& aValue)
{
  SloCells cells;
  for (const auto& entry : aValue) {
    cells[{ entry.at(0).get<std::string>(),
            entry.at(1).get<std::string>(),
            entry.at(2).get<std::string>(),
            entry.at(3).get<std::string>() }] += entry.at(4).get<int64_t>();
  }
  return cells;
}

SloMinuteCounts ParseMinute(const nlohmann::json& aValue)
{
  SloMinuteCounts minute;
  if (const auto closed = aValue.find("closed"); closed != aValue.end()) {
    minute.isClosed_ = true;
    minute.total_ = ParseCells(*closed);
    return minute;
  }
  for (const auto& [source, cells] : aValue.at("sources").items()) {
    minute.sources_[source] = ParseCells(cells);
  }
  return minute;
}

/// Key of the cell that small cells are merged into; keeps only the service and
/// the cause.
SloKey WithoutServer(const SloKey& aKey)
{
  return { aKey.service_, aKey.cause_, "", "" };
}

}

void AddCells(SloCells& aSum, const SloCells& aCells)
{
  for (const auto& [key, requests] : aCells) {
    aSum[key] += requests;
  }
}

SloCells SloMinuteCounts::Total() const
{
  if (isClosed_) {
    return total_;
  }
  SloCells sum;
  for (const auto& [source, cells] : sources_) {
    AddCells(sum, cells);
  }
  return sum;
}

void SloMinuteCounts::Merge(const std::string& aSource, const SloCells& aCells)
{
  if (isClosed_) {
    return;
  }
  auto& cells = sources_[aSource];
  for (const auto& [key, requests] : aCells) {
    auto& known = cells[key];
    known = std::max(known, requests);
  }
}

void SloMinuteCounts::Close()
{
  if (isClosed_) {
    return;
  }
  std::vector<std::pair<SloKey, int64_t>> bad;
  for (const auto& [key, requests] : Total()) {
    if (key.cause_.empty()) {
      total_[detail::WithoutServer(key)] += requests;
    } else {
      bad.emplace_back(key, requests);
    }
  }
  std::ranges::sort(
    bad, std::ranges::greater{}, &std::pair<SloKey, int64_t>::second);
  for (size_t i = 0; i < bad.size(); ++i) {
    const auto& [key, requests] = bad[i];
    total_[i < kMaxClosedFailureCells ? key : detail::WithoutServer(key)] +=
      requests;
  }
  sources_.clear();
  isClosed_ = true;
}

std::string SloBlock::ToText() const
{
  auto slots = nlohmann::json::object();
  for (const auto& [slot, counts] : slots_) {
    auto& entry = slots[std::to_string(slot)];
    if (counts.isClosed_) {
      entry["closed"] = detail::ToJson(counts.total_);
      continue;
    }
    entry["sources"] = nlohmann::json::object();
    for (const auto& [source, cells] : counts.sources_) {
      entry["sources"][source] = detail::ToJson(cells);
    }
  }
  return WriteJson({ { "saved", savedMs_ }, { "slots", slots } });
}

std::optional<SloBlock> SloBlock::Parse(std::string_view aText)
{
  try {
    const auto parsed = nlohmann::json::parse(aText);
    SloBlock block;
    block.savedMs_ = parsed.at("saved").get<int64_t>();
    for (const auto& [name, entry] : parsed.at("slots").items()) {
      int64_t slot = 0;
      if (!ParseNumber(name, slot)) {
        return std::nullopt;
      }
      block.slots_[slot] = detail::ParseMinute(entry);
    }
    return block;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

std::string SloBlock::FindOrMakeSourceName(const std::string& aInstance,
                                           int64_t aStartMs) const
{
  const auto prefix = aInstance + "@";
  for (const auto& [slot, counts] : slots_) {
    for (const auto& [source, cells] : counts.sources_) {
      int64_t startMs = 0;
      if (source.starts_with(prefix) &&
          ParseNumber(std::string_view(source).substr(prefix.size()),
                      startMs) &&
          std::abs(startMs - aStartMs) < kSameIncarnationMs) {
        return source;
      }
    }
  }
  return Concat(prefix, aStartMs);
}

void SloBlock::CloseBefore(int64_t aSlot)
{
  for (auto& [slot, counts] : slots_) {
    if (slot < aSlot) {
      counts.Close();
    }
  }
}

SloCells SloBlock::Total() const
{
  SloCells sum;
  for (const auto& [slot, counts] : slots_) {
    AddCells(sum, counts.Total());
  }
  return sum;
}

}
