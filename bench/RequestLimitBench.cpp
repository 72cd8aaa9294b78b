// Compares ways to divide the request limit of a server among gateways, by what
// reaches the server in the worst 4 s and by how much of the limit is used.

#include "BenchReport.hpp"
#include "common/Strings.hpp"
#include "tests/RequestLimitModel.hpp"

#include <algorithm>
#include <cstdio>

namespace cactuspitch {
namespace {

constexpr uint32_t kSeeds = 10;
constexpr double kLimits[] = { 3, 8, 40 };
constexpr double kOverload = 5;

struct Sums
{
  double worstExcess_ = -1e9;
  double least_ = 1e9; ///< smallest fraction of the limit that was used
  double mean_ = 0;
};

Sums Play(RequestLimitModel::Options aOptions)
{
  Sums sums;
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    const auto result = RequestLimitModel(aOptions, seed).Run();
    sums.worstExcess_ = std::max(sums.worstExcess_, result.worstExcess_);
    sums.least_ = std::min(sums.least_, result.used_);
    sums.mean_ += result.used_ / kSeeds;
  }
  return sums;
}

int Run()
{
  BenchReport report;
  for (const auto policy : { LimitPolicy::EqualShare,
                             LimitPolicy::RandomDrop,
                             LimitPolicy::Permits }) {
    for (const int gateways : { 8, 65, 300 }) {
      for (const double limit : kLimits) {
        for (const bool oneGateway : { false, true }) {
          const auto sums = Play({ .gateways_ = gateways,
                                   .limit_ = limit,
                                   .offered_ = kOverload * limit,
                                   .oneGateway_ = oneGateway,
                                   .policy_ = policy });
          std::printf("%s, %d gateways, %g/s, callers at %s: worst excess in 4 "
                      "s %.1f requests, used %.2f (least %.2f)\n",
                      std::string(EnumName(policy)).c_str(),
                      gateways,
                      limit,
                      oneGateway ? "one" : "all",
                      sums.worstExcess_,
                      sums.mean_,
                      sums.least_);
          if (policy == LimitPolicy::Permits) {
            const auto name =
              Concat("limit-", gateways, "-", limit, oneGateway ? "-one" : "");
            report.AtMost(
              Concat(name, "-excess"), sums.worstExcess_, "requests", 0);
            report.AtLeast(
              Concat(name, "-used"), sums.least_, "of the limit", 0.8);
          }
        }
      }
    }
  }
  return report.ExitCode();
}

}
}

int main()
{
  return cactuspitch::Run();
}
