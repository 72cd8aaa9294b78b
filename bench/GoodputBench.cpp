#include "BenchReport.hpp"
#include "OverloadModel.hpp"
#include "common/Strings.hpp"

#include <cstdio>
#include <cstring>

namespace cactuspitch {
namespace {

constexpr int kNormalSeconds = 10;
constexpr int kOverloadSeconds = 10;
constexpr int kAfterSeconds = 15;
constexpr int kRecoverySeconds = 5;

struct Goodput
{
  double overload_ = 0;       ///< answers in time, of the capacity
  double recovered_ = 0;      ///< the same, of the load offered anew
  double newRecovered_ = 0;   ///< of new requests, part answered in time
  double shedsPerAnswer_ = 0; ///< during the overload
};

Goodput Measure(OverloadOptions aOptions, bool aIsVerbose)
{
  OverloadModel model(std::move(aOptions));
  model.Run(kNormalSeconds, kOverloadSeconds, kAfterSeconds);
  const auto& seconds = model.Seconds();
  OverloadSecond overload;
  OverloadSecond recovered;
  const int endOfOverload = kNormalSeconds + kOverloadSeconds;
  const int end = endOfOverload + kAfterSeconds;
  for (int i = 0; i < end; ++i) {
    const auto& second = seconds[static_cast<size_t>(i)];
    auto* sum = i >= kNormalSeconds && i < endOfOverload ? &overload
                : i >= endOfOverload + kRecoverySeconds  ? &recovered
                                                         : nullptr;
    if (sum != nullptr) {
      sum->answersInTime_ += second.answersInTime_;
      sum->newRequests_ += second.newRequests_;
      sum->newInTime_ += second.newInTime_;
      sum->sheds_ += second.sheds_;
    }
    if (aIsVerbose) {
      std::printf("%3d s: new %6ld in-time %6ld new-in-time %6ld late %4ld "
                  "refused %6ld sheds %6ld\n",
                  i,
                  second.newRequests_,
                  second.answersInTime_,
                  second.newInTime_,
                  second.answersLate_,
                  second.refused_,
                  second.sheds_);
    }
  }
  const auto part = [](int64_t aPart, double aWhole) {
    return static_cast<double>(aPart) / aWhole;
  };
  const auto answers = static_cast<double>(overload.answersInTime_);
  const auto offered = static_cast<double>(recovered.newRequests_);
  return {
    part(overload.answersInTime_, model.CapacityPerSecond() * kOverloadSeconds),
    part(recovered.answersInTime_, offered),
    part(recovered.newInTime_, offered),
    part(overload.sheds_, answers),
  };
}

struct Size
{
  int slots_;
  double networkMs_;
  size_t serverQueue_;
};

/// The worst over the slots and distances of the two deployments, with servers
/// that shed at once or have a short queue.
Goodput Worst(OverloadOptions aOptions, bool aIsVerbose)
{
  constexpr Size kSizes[] = {
    { 5, 0.5, 0 }, { 3, 1, 0 }, { 5, 0.5, 5 }, { 3, 1, 5 }
  };
  Goodput worst{ 1e9, 1e9, 1e9, 0 };
  for (const Size& size : kSizes) {
    aOptions.slots_ = size.slots_;
    aOptions.networkMs_ = size.networkMs_;
    aOptions.serverQueue_ = size.serverQueue_;
    aOptions.seed_ = static_cast<uint64_t>(size.slots_);
    const Goodput one = Measure(aOptions, aIsVerbose);
    if (aIsVerbose) {
      std::printf("%d slots, queue %zu: goodput %.3f, after %.3f, new %.3f, "
                  "sheds %.3f\n",
                  size.slots_,
                  size.serverQueue_,
                  one.overload_,
                  one.recovered_,
                  one.newRecovered_,
                  one.shedsPerAnswer_);
    }
    worst.overload_ = std::min(worst.overload_, one.overload_);
    worst.recovered_ = std::min(worst.recovered_, one.recovered_);
    worst.newRecovered_ = std::min(worst.newRecovered_, one.newRecovered_);
    worst.shedsPerAnswer_ =
      std::max(worst.shedsPerAnswer_, one.shedsPerAnswer_);
  }
  return worst;
}

void Note(BenchReport& aReport, const char* aVariant, const Goodput& aGoodput)
{
  aReport.Note(Concat("goodput-", aVariant), aGoodput.overload_, "of capacity");
  aReport.Note(
    Concat("goodput-after-", aVariant), aGoodput.recovered_, "of new load");
  aReport.Note(Concat("goodput-after-new-", aVariant),
               aGoodput.newRecovered_,
               "of new requests");
  aReport.Note(
    Concat("sheds-", aVariant), aGoodput.shedsPerAnswer_, "per answer");
}

int Run(bool aIsVerbose)
{
  BenchReport report;
  Note(report, "static", Worst({ .policy_ = "static" }, aIsVerbose));
  Note(report, "charged", Worst({ .chargeSheds_ = true }, false));
  const Goodput adaptive = Worst({}, aIsVerbose);
  report.Note("sheds", adaptive.shedsPerAnswer_, "per answer");
  report.AtLeast(
    "goodput-after-new", adaptive.newRecovered_, "of new requests", 0.95);
  report.AtLeast("goodput-after", adaptive.recovered_, "of new load", 0.95);
  report.AtLeast("goodput", adaptive.overload_, "of capacity", 0.9);
  return report.ExitCode();
}

}
}

int main(int aArgc, char** aArgv)
{
  const bool isVerbose = aArgc > 1 && std::strcmp(aArgv[1], "--verbose") == 0;
  return cactuspitch::Run(isVerbose);
}
