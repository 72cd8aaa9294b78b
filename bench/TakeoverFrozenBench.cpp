#include "Measurement.hpp"
#include "TakeoverTrial.hpp"

namespace cactuspitch {
namespace {

// Owners are frozen with SIGSTOP and resumed. The history check finds requests
// that a resumed owner ran after its grant had ended.
int Run()
{
  constexpr int kFreezes = 8;
  OwnershipRig rig(BINARY_DIR,
                   { .services_ = { { .name_ = "ledger", .backends_ = 4 } },
                     .assignerFlags_ = { "--slices", "32" } });
  const auto missing = rig.Start();
  if (!missing.empty()) {
    return ReportFailure("takeover-frozen", missing);
  }
  return MeasureTakeovers("takeover-frozen", rig, OwnerLoss::Frozen, kFreezes);
}

}
}

int main()
{
  return cactuspitch::Run();
}
