#include "BalanceModel.hpp"

#include "common/KeyHash.hpp"
#include "common/Strings.hpp"
#include "tests/PlanApplier.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <utility>

namespace cactuspitch {

namespace {

constexpr TimeMs kStepMs = 1000;
constexpr size_t kReportedKeys = 32;

}

BalanceModel::BalanceModel(BalanceModelOptions aOptions)
  : options_(aOptions)
  , random_(aOptions.seed_)
  , table_(MakeGroupTable(aOptions.servers_,
                          aOptions.slices_,
                          aOptions.failureDomains_,
                          aOptions.slots_))
  , policy_(BalancingRegistry::Global().Create("load-per-key", {}))
  , sketches_(static_cast<size_t>(aOptions.routers_))
  , measured_(sketches_.size())
{
  for (size_t i = 0; i < options_.keys_; ++i) {
    keys_.push_back(HashKey(Concat("key", i)));
    popularity_.push_back(
      std::pow(static_cast<double>(i + 1), -options_.zipf_));
  }
  std::ranges::shuffle(keys_, random_);
  rank_ =
    std::discrete_distribution<size_t>(popularity_.begin(), popularity_.end());
  popularity_ = rank_.probabilities();
  std::vector<double> weights(sketches_.size(), 1);
  weights[0] = 6;
  weights[1] = 3;
  router_ = std::discrete_distribution<size_t>(weights.begin(), weights.end());
}

const BalanceSecond& BalanceModel::Step()
{
  nowMs_ += kStepMs;
  Sample();
  Measure();
  second_.movedPart_ = 0;
  if (!pending_.moves_.empty()) {
    const auto parts = SliceParts();
    for (const auto& move : pending_.moves_) {
      second_.movedPart_ += parts[SliceIndex(move.sliceBegin_)];
    }
  }
  if (!ApplyPlan(std::exchange(pending_, {}), table_)) {
    std::puts("the plan breaks a rule of the table");
    std::abort();
  }
  Report();
  Plan();
  return second_;
}

void BalanceModel::ChangeHotKeys(size_t aCount)
{
  std::uniform_int_distribution<size_t> cold(aCount, keys_.size() - 1);
  for (size_t i = 0; i < aCount; ++i) {
    std::swap(keys_[i], keys_[cold(random_)]);
  }
}

void BalanceModel::SetFlood(KeyHash aKey, double aRequestsPerSecond)
{
  floodKey_ = aKey;
  floodPerSecond_ = aRequestsPerSecond;
}

void BalanceModel::AddServer()
{
  const size_t index = table_.servers_.size();
  auto server = table_.servers_.front();
  server.id_ = Concat("server", index);
  server.failureDomain_ =
    Concat("domain", index % static_cast<size_t>(options_.failureDomains_));
  table_.servers_.push_back(std::move(server));
}

void BalanceModel::DrainServer(int32_t aServer)
{
  table_.servers_[static_cast<size_t>(aServer)].draining_ = true;
}

KeyHash BalanceModel::RandomColdKey()
{
  std::uniform_int_distribution<size_t> cold(keys_.size() / 2,
                                             keys_.size() - 1);
  return keys_[cold(random_)];
}

std::vector<double> BalanceModel::ServerParts() const
{
  std::vector<double> parts(table_.servers_.size());
  const auto slices = SliceParts();
  for (size_t i = 0; i < slices.size(); ++i) {
    parts[static_cast<size_t>(table_.slices_[i].owner_)] += slices[i];
  }
  return parts;
}

void BalanceModel::Sample()
{
  std::poisson_distribution<int> count(options_.requestsPerSecond_);
  std::exponential_distribution<double> busyMs(1 / options_.serviceMs_);
  second_.requests_.clear();
  for (int i = count(random_); i > 0; --i) {
    second_.requests_.push_back({ keys_[rank_(random_)], busyMs(random_) });
  }
  if (floodPerSecond_ > 0) {
    std::poisson_distribution<int> flood(floodPerSecond_);
    for (int i = flood(random_); i > 0; --i) {
      second_.requests_.push_back({ floodKey_, busyMs(random_) });
    }
    std::ranges::shuffle(second_.requests_, random_);
  }
}

void BalanceModel::Measure()
{
  for (auto& slices : measured_) {
    slices.clear();
  }
  for (const auto& request : second_.requests_) {
    const size_t router = router_(random_);
    const KeyHash begin = table_.FindSlice(request.hash_).begin_;
    auto& slice = measured_[router][begin];
    slice.begin_ = begin;
    ++slice.requests_;
    slice.busyMs_ += request.busyMs_;
    sketches_[router].Add(request.hash_, 1, nowMs_);
  }
}

void BalanceModel::Report()
{
  for (size_t router = 0; router < sketches_.size(); ++router) {
    RouterLoadReport load{ Concat("router", router), kStepMs, {}, {} };
    for (const auto& [begin, slice] : measured_[router]) {
      load.slices_.push_back(slice);
    }
    for (const auto& key : sketches_[router].Top(kReportedKeys, nowMs_)) {
      const double perSecond = key.perSecond_ - key.errorPerSecond_;
      load.hotKeys_.push_back({ key.hash_, std::llround(perSecond) });
    }
    merger_.Add(load, nowMs_);
  }
}

void BalanceModel::Plan()
{
  BalanceInput input;
  merger_.Fill(table_, nowMs_, input);
  for (const auto& server : table_.servers_) {
    input.serverUsable_.push_back(!server.draining_);
  }
  pending_ = policy_->Plan(input);
}

std::vector<double> BalanceModel::SliceParts() const
{
  std::vector<double> parts(table_.slices_.size());
  const double total = options_.requestsPerSecond_ + floodPerSecond_;
  for (size_t i = 0; i < keys_.size(); ++i) {
    parts[SliceIndex(keys_[i])] +=
      popularity_[i] * options_.requestsPerSecond_ / total;
  }
  parts[SliceIndex(floodKey_)] += floodPerSecond_ / total;
  return parts;
}

size_t BalanceModel::SliceIndex(KeyHash aHash) const
{
  return static_cast<size_t>(&table_.FindSlice(aHash) - table_.slices_.data());
}

}
