#include "StoreFaultInjector.hpp"

#include "common/Strings.hpp"

namespace cactuspitch {

absl::Status StoreFaultInjector::Apply(const nlohmann::json& aDocument)
{
  const std::lock_guard lock(mutex_);
  try {
    const auto name = aDocument.value("down", std::string(EnumName(outage_)));
    const auto outage = ParseEnum<StoreOutage>(name);
    if (!outage) {
      return absl::InvalidArgumentError(
        Concat("unknown value of down: ", name));
    }
    delayMs_ = aDocument.value("slowMs", delayMs_);
    responsesToDrop_ = aDocument.value("loseAnswers", responsesToDrop_);
    dropResponseRate_ = aDocument.value("loseAnswerRate", dropResponseRate_);
    errorRate_ = aDocument.value("failRate", errorRate_);
    lagMs_ = aDocument.value("lagMs", lagMs_);
    if (aDocument.contains("seed")) {
      seed_ = aDocument["seed"].get<uint64_t>();
      randomEngine_.seed(seed_);
    }
    outage_ = *outage;
    return absl::OkStatus();
  } catch (const nlohmann::json::exception& failure) {
    return absl::InvalidArgumentError(failure.what());
  }
}

nlohmann::json StoreFaultInjector::ToJson() const
{
  const std::lock_guard lock(mutex_);
  return { { "down", EnumName(outage_) },
           { "slowMs", delayMs_ },
           { "loseAnswers", responsesToDrop_ },
           { "loseAnswerRate", dropResponseRate_ },
           { "failRate", errorRate_ },
           { "seed", seed_ },
           { "lagMs", lagMs_ } };
}

StoreFault StoreFaultInjector::NextFault(bool aIsWrite)
{
  const std::lock_guard lock(mutex_);
  StoreFault fault{ outage_, delayMs_, Draw(errorRate_), false };
  if (aIsWrite && !fault.returnsError_) {
    fault.dropsResponse_ = responsesToDrop_ > 0 || Draw(dropResponseRate_);
    responsesToDrop_ -= responsesToDrop_ > 0 ? 1 : 0;
  }
  return fault;
}

StoreOutage StoreFaultInjector::Outage() const
{
  const std::lock_guard lock(mutex_);
  return outage_;
}

TimeMs StoreFaultInjector::LagMs(const std::string& aKind) const
{
  const std::lock_guard lock(mutex_);
  const auto found = lagMs_.find(aKind);
  return found == lagMs_.end() ? 0 : found->second;
}

bool StoreFaultInjector::Draw(double aRate)
{
  return aRate > 0 && std::bernoulli_distribution(aRate)(randomEngine_);
}

}
