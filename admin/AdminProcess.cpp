#include "AdminProcess.hpp"

#include "common/Log.hpp"
#include "common/ProcessSettings.hpp"
#include "common/Strings.hpp"

#include <chrono>
#include <random>

#include <thrift/TOutput.h>

namespace cactuspitch {

namespace detail {

constexpr auto kObserveInterval = std::chrono::milliseconds(100);

/// Unique to this run of the process, so that change ids never repeat.
std::string MakeWriterName(const std::string& aInstance)
{
  std::random_device random;
  const auto high = static_cast<uint64_t>(random()) << 32U;
  return Concat(aInstance, ".", absl::Hex(high | random()));
}

template<typename T>
void Append(std::vector<T>& aList, std::vector<T> aMore)
{
  std::move(aMore.begin(), aMore.end(), std::back_inserter(aList));
}

}

std::vector<SettingSpec> AdminSettings()
{
  return WithProcessSettings({
    { "store", SettingType::Address, "", "Address of the object store.", true },
    { "slo-interval-ms",
      SettingType::Integer,
      "15000",
      "Interval at which the burn report's counters are saved.",
      false,
      1000,
      60000 },
  });
}

AdminProcess::AdminProcess(const Clock& aClock, AdminOptions aOptions)
  : clock_(aClock)
  , options_(std::move(aOptions))
  , store_(aClock, { .address_ = options_.store_ })
  , follower_(aClock,
              { .instance_ = options_.instance_,
                .role_ = "admin",
                .assigners_ = options_.assigners_,
                .secret_ = options_.token_ })
  , directory_(store_, aClock)
  , fleet_(directory_, &UnixNowMs, { .secret_ = options_.token_ })
  , editor_(store_,
            aClock,
            &UnixNowMs,
            detail::MakeWriterName(options_.instance_))
  , archive_(store_, aClock)
  , collector_(directory_,
               fleet_,
               archive_,
               metrics_,
               aClock,
               &UnixNowMs,
               { options_.instance_, options_.sloIntervalMs_ })
  , rulesApi_(editor_, aClock, &UnixNowMs)
  , fleetApi_(editor_,
              fleet_,
              follower_,
              moves_,
              aClock,
              &UnixNowMs,
              options_.instance_)
  , sloApi_(editor_, archive_, follower_, &UnixNowMs)
  , server_({ options_.listen_, options_.token_ },
            AllRoutes(),
            metrics_,
            [this] { return !stopping_.load(); })
{
}

AdminProcess::~AdminProcess()
{
  Stop();
}

std::vector<ApiRoute> AdminProcess::AllRoutes()
{
  auto routes = rulesApi_.Routes();
  detail::Append(routes, fleetApi_.Routes());
  detail::Append(routes, sloApi_.Routes());
  return routes;
}

absl::Status AdminProcess::Start()
{
  // Thrift otherwise prints every refused connection to standard error.
  apache::thrift::GlobalOutput.setOutputFunction([](const char*) {});
  auto started = server_.Start();
  if (!started.ok()) {
    return started;
  }
  follower_.Start();
  collector_.Start();
  observerThread_ = std::thread([this] { ObserveTables(); });
  return absl::OkStatus();
}

void AdminProcess::ObserveTables()
{
  while (!stopping_.load()) {
    for (const auto& followed : follower_.Tables()) {
      moves_.Observe(followed->table_, UnixNowMs());
    }
    if (const auto config = follower_.Config()) {
      editor_.ObserveVersion(config->version_);
    }
    std::this_thread::sleep_for(detail::kObserveInterval);
  }
}

void AdminProcess::Stop()
{
  if (stopping_.exchange(true) || !observerThread_.joinable()) {
    return;
  }
  server_.Stop();
  observerThread_.join();
  collector_.Stop();
  follower_.Stop();
}

}
