#include "StoreFaults.hpp"

#include "common/Strings.hpp"

namespace cactuspitch {

absl::Status StoreFaults::Apply(const nlohmann::json& aDocument)
{
  const std::lock_guard lock(mutex_);
  try {
    const auto name = aDocument.value("down", std::string(EnumName(down_)));
    const auto down = ParseEnum<StoreDown>(name);
    if (!down) {
      return absl::InvalidArgumentError(Concat("unknown down: ", name));
    }
    slowMs_ = aDocument.value("slowMs", slowMs_);
    loseAnswers_ = aDocument.value("loseAnswers", loseAnswers_);
    loseAnswerRate_ = aDocument.value("loseAnswerRate", loseAnswerRate_);
    failRate_ = aDocument.value("failRate", failRate_);
    lagMs_ = aDocument.value("lagMs", lagMs_);
    if (aDocument.contains("seed")) {
      seed_ = aDocument["seed"].get<uint64_t>();
      random_.seed(seed_);
    }
    down_ = *down;
    return absl::OkStatus();
  } catch (const nlohmann::json::exception& failure) {
    return absl::InvalidArgumentError(failure.what());
  }
}

nlohmann::json StoreFaults::ToJson() const
{
  const std::lock_guard lock(mutex_);
  return { { "down", EnumName(down_) },
           { "slowMs", slowMs_ },
           { "loseAnswers", loseAnswers_ },
           { "loseAnswerRate", loseAnswerRate_ },
           { "failRate", failRate_ },
           { "seed", seed_ },
           { "lagMs", lagMs_ } };
}

StoreFault StoreFaults::Next(bool aIsWrite)
{
  const std::lock_guard lock(mutex_);
  StoreFault fault{ down_, slowMs_, Draw(failRate_), false };
  if (aIsWrite && !fault.fails_) {
    fault.losesAnswer_ = loseAnswers_ > 0 || Draw(loseAnswerRate_);
    loseAnswers_ -= loseAnswers_ > 0 ? 1 : 0;
  }
  return fault;
}

StoreDown StoreFaults::Down() const
{
  const std::lock_guard lock(mutex_);
  return down_;
}

TimeMs StoreFaults::LagMs(const std::string& aKind) const
{
  const std::lock_guard lock(mutex_);
  const auto found = lagMs_.find(aKind);
  return found == lagMs_.end() ? 0 : found->second;
}

bool StoreFaults::Draw(double aRate)
{
  return aRate > 0 && std::bernoulli_distribution(aRate)(random_);
}

}
