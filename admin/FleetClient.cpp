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

void FleetClient::ForEach(size_t aCount,
                          const std::function<void(size_t)>& aCall) const
{
  std::atomic<size_t> next = 0;
  std::vector<std::jthread> threads;
  for (size_t i = 0; i < std::min(aCount, options_.parallelCalls_); ++i) {
    threads.emplace_back([&] {
      for (size_t index = next++; index < aCount; index = next++) {
        aCall(index);
      }
    });
  }
}

void FleetClient::Ask(PeerStatus& aStatus) const
{
  const auto run = [&]<typename Client>(std::type_identity<Client>) {
    ThriftChannel<Client> channel(aStatus.address_,
                                  options_.connectTimeoutMs_,
                                  options_.callTimeoutMs_,
                                  options_.secret_);
    return channel.Run(
      [&](Client& aClient) { aClient.GetStatus(aStatus.status_); });
  };
  const auto answered = aStatus.program_ == "router"
                          ? run(std::type_identity<wire::RouterPeerClient>())
                          : run(std::type_identity<wire::AssignerPeerClient>());
  aStatus.error_ = detail::ErrorText(answered);
}

std::vector<PeerStatus> FleetClient::Statuses()
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
  Refresh(statuses);
  return statuses;
}

void FleetClient::Refresh(std::vector<PeerStatus>& aStatuses)
{
  ForEach(aStatuses.size(), [&](size_t aIndex) { Ask(aStatuses[aIndex]); });
}

std::vector<FleetClient::RouterAddress> FleetClient::Routers()
{
  std::vector<RouterAddress> routers;
  for (const auto& instance : directory_.Instances()) {
    if (!instance.router_.empty()) {
      routers.push_back({ instance.id_, instance.router_ });
    }
  }
  return routers;
}

std::vector<PeerQuarantine> FleetClient::AskRouters(const QuarantineCall& aCall)
{
  const auto routers = Routers();
  std::vector<PeerQuarantine> answers(routers.size());
  ForEach(routers.size(), [&](size_t aIndex) {
    auto& answer = answers[aIndex];
    answer.instance_ = routers[aIndex].instance_;
    ThriftChannel<wire::RouterPeerClient> channel(routers[aIndex].address_,
                                                  options_.connectTimeoutMs_,
                                                  options_.callTimeoutMs_,
                                                  options_.secret_);
    answer.error_ =
      detail::ErrorText(channel.Run([&](wire::RouterPeerClient& aClient) {
        aCall(aClient, answer.entries_);
      }));
  });
  return answers;
}

std::vector<PeerQuarantine> FleetClient::ListQuarantine()
{
  return AskRouters([](wire::RouterPeerClient& aClient, auto& aEntries) {
    aClient.ListQuarantine(aEntries);
  });
}

std::vector<PeerQuarantine> FleetClient::ReleaseQuarantine(int64_t aFingerprint)
{
  return AskRouters([=](wire::RouterPeerClient& aClient, auto& /*aEntries*/) {
    aClient.ReleaseQuarantine(aFingerprint);
  });
}

std::vector<SloSample> FleetClient::SloSamples(int64_t aSinceMinute)
{
  const auto routers = Routers();
  std::vector<std::optional<SloSample>> answers(routers.size());
  ForEach(routers.size(), [&](size_t aIndex) {
    ThriftChannel<wire::RouterPeerClient> channel(routers[aIndex].address_,
                                                  options_.connectTimeoutMs_,
                                                  options_.callTimeoutMs_,
                                                  options_.secret_);
    SloSample sample;
    sample.instance_ = routers[aIndex].instance_;
    // Both calls go over one connection, so they reach the same run.
    const auto answered = channel.Run([&](wire::RouterPeerClient& aClient) {
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
    if (answered.ok()) {
      answers[aIndex] = std::move(sample);
    }
  });
  std::vector<SloSample> samples;
  for (auto& answer : answers) {
    if (answer) {
      samples.push_back(*std::move(answer));
    }
  }
  return samples;
}

}
