#include "gateway/GatewayMetrics.hpp"

#include "common/Strings.hpp"

namespace cactuspitch {

GatewayMetrics::GatewayMetrics(MetricsRegistry& aRegistry)
  : registry_(aRegistry)
  , retries_(aRegistry.GetCounter("cactuspitch_retries_total"))
  , connections_(aRegistry.GetCounter("cactuspitch_caller_connections_total"))
  , queuedRequests_(aRegistry.GetGauge("cactuspitch_parked_requests"))
  , latency_(aRegistry.GetSummary("cactuspitch_request_ms"))
{
}

void GatewayMetrics::OnRequest(const std::string& aRoute)
{
  registry_.GetCounter("cactuspitch_requests_total", { { "route", aRoute } })
    .Add();
}

void GatewayMetrics::OnResponse(int aStatus,
                                std::string_view aCause,
                                double aLatencyMs)
{
  registry_
    .GetCounter(
      "cactuspitch_answers_total",
      { { "status", Concat(aStatus) }, { "cause", std::string(aCause) } })
    .Add();
  latency_.Record(aLatencyMs);
}

void GatewayMetrics::OnServerNotice(std::string_view aReason,
                                    const std::string& aBackend)
{
  registry_
    .GetCounter("cactuspitch_server_notices_total",
                { { "reason", std::string(aReason) }, { "server", aBackend } })
    .Add();
}

void GatewayMetrics::OnHeldBack(const std::string& aBackend)
{
  registry_
    .GetCounter("cactuspitch_limit_held_back_total", { { "server", aBackend } })
    .Add();
}

void GatewayMetrics::SetLimit(const std::string& aBackend,
                              double aLimit,
                              double aShare)
{
  const MetricLabels labels{ { "server", aBackend } };
  registry_.GetGauge("cactuspitch_server_limit", labels).Set(aLimit);
  registry_.GetGauge("cactuspitch_server_limit_share", labels).Set(aShare);
}

void GatewayMetrics::OnColdRefusal(const std::string& aService)
{
  registry_
    .GetCounter("cactuspitch_cold_refused_total", { { "service", aService } })
    .Add();
}

void GatewayMetrics::SetColdServers(const std::string& aService, size_t aCount)
{
  registry_.GetGauge("cactuspitch_cold_servers", { { "service", aService } })
    .Set(static_cast<double>(aCount));
}

void GatewayMetrics::OnAttempt(std::string_view aEnd)
{
  auto found = attempts_.find(aEnd);
  if (found == attempts_.end()) {
    auto& counter = registry_.GetCounter("cactuspitch_attempts_total",
                                         { { "end", std::string(aEnd) } });
    found = attempts_.emplace(std::string(aEnd), &counter).first;
  }
  found->second->Add();
}

void GatewayMetrics::OnSlotRequest(std::string_view aRole,
                                   std::string_view aVerdict,
                                   std::string_view aCause)
{
  auto& counter = slotRequests_[{ aRole, aVerdict, aCause }];
  if (counter == nullptr) {
    counter = &registry_.GetCounter("cactuspitch_slot_requests_total",
                                    { { "role", std::string(aRole) },
                                      { "verdict", std::string(aVerdict) },
                                      { "cause", std::string(aCause) } });
  }
  counter->Add();
}

void GatewayMetrics::OnSlotCrossing(const std::string& aDomain)
{
  registry_
    .GetCounter("cactuspitch_slot_crossings_total", { { "domain", aDomain } })
    .Add();
}

void GatewayMetrics::OnInvalidSlotMessages(size_t aCount)
{
  if (aCount > 0) {
    registry_.GetCounter("cactuspitch_slot_messages_invalid_total")
      .Add(static_cast<int64_t>(aCount));
  }
}

void GatewayMetrics::SetSlotsWaiting(int aRank, int aCount)
{
  const auto known = slotsWaiting_.find(aRank);
  if (known != slotsWaiting_.end()) {
    known->second->Set(aCount);
  } else if (aCount > 0) {
    auto& gauge = registry_.GetGauge("cactuspitch_slots_waiting",
                                     { { "rank", Concat(aRank) } });
    gauge.Set(aCount);
    slotsWaiting_[aRank] = &gauge;
  }
}

void GatewayMetrics::SetSlotsInUse(size_t aCount)
{
  registry_.GetGauge("cactuspitch_slots_in_use")
    .Set(static_cast<double>(aCount));
}

}
