// Compares gateways that heed leaving and pausing servers with gateways that do
// not: a rolling release whose registrations lag by 3 s, and a tenth of the
// servers asking for pauses, with servers at 90% of their slots.

#include "BenchReport.hpp"
#include "common/Strings.hpp"
#include "tests/ServerNoticesModel.hpp"

#include <cstdio>
#include <string>

namespace cactuspitch {
namespace {

constexpr uint32_t kSeeds = 10;

struct Fleet
{
  const char* name_ = "";
  ServerNoticesModel::Options options_;
};

/// Sums over all seeds.
ServerNoticesModel::Result Play(ServerNoticesModel::Options aOptions,
                                bool aHeeds)
{
  aOptions.obeysLeavingNotices_ = aHeeds;
  aOptions.obeysPauses_ = aHeeds;
  ServerNoticesModel::Result sum;
  for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
    sum += ServerNoticesModel(aOptions, seed).Run();
  }
  return sum;
}

void Print(const char* aFleet,
           const char* aCode,
           const ServerNoticesModel::Result& aResult)
{
  std::printf("%s gateways, %s: requests %ld, served %ld, late %ld, refused "
              "%ld, lost %ld, after leaving %ld, in pauses %ld, turned away "
              "after pauses %ld\n",
              aFleet,
              aCode,
              aResult.requests_,
              aResult.served_,
              aResult.late_,
              aResult.refused_,
              aResult.lost_,
              aResult.sentAfterLeavingNotice_,
              aResult.sentInPause_,
              aResult.shedAfterPause_);
}

int Run()
{
  const Fleet fleets[] = { { "65", {} },
                           { "300",
                             { .gateways_ = 300,
                               .servers_ = 380,
                               .slots_ = 6,
                               .serviceTimeMs_ = 890,
                               .objectiveMs_ = 3000,
                               .deadlineMs_ = 15000,
                               .drainMs_ = 3000 } } };
  BenchReport report;
  for (const auto& fleet : fleets) {
    const auto without = Play(fleet.options_, false);
    const auto with = Play(fleet.options_, true);
    Print(fleet.name_, "notices ignored", without);
    Print(fleet.name_, "notices heeded", with);
    const auto name = [&](const char* aFigure) {
      return Concat("notices-", fleet.name_, "-", aFigure);
    };
    report.AtMost(name("after-leaving"),
                  static_cast<double>(with.sentAfterLeavingNotice_),
                  "requests",
                  0);
    report.AtMost(
      name("in-pause"), static_cast<double>(with.sentInPause_), "requests", 0);
    report.AtMost(name("lost"), static_cast<double>(with.lost_), "requests", 0);
    report.AtMost(name("late"),
                  static_cast<double>(with.late_),
                  "requests",
                  static_cast<double>(without.late_));
  }
  return report.ExitCode();
}

}
}

int main()
{
  return cactuspitch::Run();
}
