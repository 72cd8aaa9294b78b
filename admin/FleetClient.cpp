#include "FleetClient.hpp"

#include "rpc/ThriftChannel.hpp"

#include <algorithm>
#include <atomic>
#include <optional>
#include <thread>
#include <utility>

#include <AssignerPeer.h>

namespace cactuspitch {

namespace detail {

std::string ErrorText(const absl::Status& aStatus)
{
  return aStatus.ok() ? std::string() : std::string(ToStd(aStatus.message()));
}

}

FleetClient::FleetClient(InstanceDirectory& aDirectory,
                         std::function<int64_t()> aUnixClock,
                         FleetClientOptions aOptions)
  : directory_(aDirectory)
  , unixClock_(std::move(aUnixClock))
  , options_(std::move(aOptions))
{
}

void FleetClient::ForEachConcurrently(
  size_t aCount,
  const std::function<void(size_t)>& aCall) const
{
  std::atomic<size_t> next = 0;
  std::vector<std::jthread> threads;
  for (size_t i = 0; i < std::min(aCount, options_.maxConcurrentCalls_); ++i) {
    threads.emplace_back([&] {
      for (size_t index = next++; index < aCount; index = next++) {
        aCall(index);
      }
    });
  }
}

void FleetClient::FetchStatus(PeerStatus& aStatus) const
{
  const auto run = [&]<typename Client>(std::type_identity<Client>) {
    ThriftChannel<Client> channel(aStatus.address_,
                                  options_.connectTimeoutMs_,
                                  options_.callTimeoutMs_,
                                  options_.secret_);
    return channel.Run(
      [&](Client& aClient) { aClient.GetStatus(aStatus.status_); });
  };
  const auto callStatus =
    aStatus.program_ == "router"
      ? run(std::type_identity<wire::RouterPeerClient>())
      : run(std::type_identity<wire::AssignerPeerClient>());
  aStatus.error_ = detail::ErrorText(callStatus);
}

std::vector<PeerStatus> FleetClient::FetchStatuses()
{
  std::vector<PeerStatus> statuses;
  for (const auto& instance : directory_.Instances()) {
    const auto add = [&](const char* aProgram, const std::string& aAddress) {
      if (!aAddress.empty()) {
        statuses.push_back({ aProgram,
                             instance.id_,
                             instance.failureDomain_,
                             aAddress,
                             {},
                             {} });
      }
    };
    add("router", instance.router_);
    add("assigner", instance.assigner_);
  }
  RefreshStatuses(statuses);
  return statuses;
}

void FleetClient::RefreshStatuses(std::vector<PeerStatus>& aStatuses)
{
  ForEachConcurrently(aStatuses.size(),
                      [&](size_t aIndex) { FetchStatus(aStatuses[aIndex]); });
}

std::vector<FleetClient::RouterAddress> FleetClient::ListRouters()
{
  std::vector<RouterAddress> routers;
  for (const auto& instance : directory_.Instances()) {
    if (!instance.router_.empty()) {
      routers.push_back({ instance.id_, instance.router_ });
    }
  }
  return routers;
}

std::vector<QuarantineResponse> FleetClient::CallRouters(
  const QuarantineCall& aCall)
{
  const auto routers = ListRouters();
  std::vector<QuarantineResponse> responses(routers.size());
  ForEachConcurrently(routers.size(), [&](size_t aIndex) {
    auto& response = responses[aIndex];
    response.instance_ = routers[aIndex].instance_;
    ThriftChannel<wire::RouterPeerClient> channel(routers[aIndex].address_,
                                                  options_.connectTimeoutMs_,
                                                  options_.callTimeoutMs_,
                                                  options_.secret_);
    response.error_ =
      detail::ErrorText(channel.Run([&](wire::RouterPeerClient& aClient) {
        aCall(aClient, response.entries_);
      }));
  });
  return responses;
}

std::vector<QuarantineResponse> FleetClient::ListQuarantine()
{
  return CallRouters([](wire::RouterPeerClient& aClient, auto& aEntries) {
    aClient.ListQuarantine(aEntries);
  });
}

std::vector<QuarantineResponse> FleetClient::ReleaseQuarantine(
  int64_t aFingerprint)
{
  return CallRouters([=](wire::RouterPeerClient& aClient, auto& /*aEntries*/) {
    aClient.ReleaseQuarantine(aFingerprint);
  });
}

std::vector<SloSample> FleetClient::FetchSloSamples(int64_t aSinceMinute)
{
  const auto routers = ListRouters();
  std::vector<std::optional<SloSample>> responses(routers.size());
  ForEachConcurrently(routers.size(), [&](size_t aIndex) {
    ThriftChannel<wire::RouterPeerClient> channel(routers[aIndex].address_,
                                                  options_.connectTimeoutMs_,
                                                  options_.callTimeoutMs_,
                                                  options_.secret_);
    SloSample sample;
    sample.instance_ = routers[aIndex].instance_;
    // Both calls use the same connection, so they reach the same incarnation
    // of the router.
    const auto callStatus = channel.Run([&](wire::RouterPeerClient& aClient) {
      wire::ProcessStatus status;
      aClient.GetStatus(status);
      sample.startMs_ = unixClock_() - status.uptimeMs;
      std::vector<wire::SloMinute> minutes;
      aClient.GetSloMinutes(minutes, aSinceMinute);
      for (const auto& minute : minutes) {
        sample.minutes_[minute.epochMinute][{ minute.serviceName,
                                              minute.cause,
                                              minute.server,
                                              minute.failureDomain }] +=
          minute.requests;
      }
    });
    if (callStatus.ok()) {
      responses[aIndex] = std::move(sample);
    }
  });
  std::vector<SloSample> samples;
  for (auto& response : responses) {
    if (response) {
      samples.push_back(*std::move(response));
    }
  }
  return samples;
}

}
