#include "Measurement.hpp"
#include "TakeoverTrial.hpp"

namespace cactuspitch {
namespace {

// 20 owners are lost by SIGKILL, one after another. Few slices, so that a
// server that comes back gets some only by the next losses.
int Run()
{
  constexpr int kKills = 20;
  OwnershipRig rig(BINARY_DIR,
                   { .services_ = { { .name_ = "ledger", .backends_ = 4 } },
                     .assignerFlags_ = { "--slices", "32" } });
  const auto missing = rig.Start();
  if (!missing.empty()) {
    return ReportFailure("takeover", missing);
  }
  return MeasureTakeovers("takeover", rig, OwnerLoss::Killed, kKills);
}

}
}

int main()
{
  return cactuspitch::Run();
}
