#include "OverloadModel.hpp"

#include <cmath>
#include <utility>

namespace cactuspitch {

namespace {

constexpr double kUsPerMs = 1000;
constexpr int64_t kUsPerSecond = 1000000;
constexpr double kRetryPercent = 10;

}

OverloadModel::OverloadModel(OverloadOptions aOptions)
  : options_(std::move(aOptions))
  , random_(options_.seed_)
  , budgets_(static_cast<size_t>(options_.routers_), RetryBudget(kRetryPercent))
  , busySlots_(static_cast<size_t>(options_.servers_))
  , waiting_(busySlots_.size())
{
  // The platform's balancer keeps connections, so routers differ.
  std::vector<double> weights(budgets_.size(), 1);
  weights[0] = 6;
  weights[1] = 3;
  routerOfCaller_ =
    std::discrete_distribution<size_t>(weights.begin(), weights.end());
  for (size_t router = 0; router < budgets_.size(); ++router) {
    for (size_t server = 0; server < busySlots_.size(); ++server) {
      const uint64_t seed = random_();
      auto policy = AdmissionRegistry::Global().Create(
        options_.policy_,
        { .slots_ = static_cast<double>(options_.slots_),
          .routers_ = options_.routers_,
          .seed_ = seed });
      gates_.push_back({ .gate_ = std::make_unique<ServerGate>(
                           std::move(policy), QueueOptions{}, seed),
                         .server_ = server,
                         .router_ = router });
    }
  }
}

double OverloadModel::CapacityPerSecond() const
{
  constexpr double kMsPerSecond = 1000;
  return options_.servers_ * options_.slots_ * kMsPerSecond /
         options_.serviceMs_;
}

void OverloadModel::Run(int aNormalSeconds,
                        int aOverloadSeconds,
                        int aAfterSeconds)
{
  const int64_t overloadUs = aNormalSeconds * kUsPerSecond;
  const int64_t afterUs = overloadUs + aOverloadSeconds * kUsPerSecond;
  const int64_t endUs = afterUs + aAfterSeconds * kUsPerSecond;
  seconds_.resize(static_cast<size_t>(endUs / kUsPerSecond) + 2);
  const double normal = options_.normalLoad_ * CapacityPerSecond();
  ScheduleArrivals(normal, 0, overloadUs);
  ScheduleArrivals(
    options_.overload_ * CapacityPerSecond(), overloadUs, afterUs);
  ScheduleArrivals(normal, afterUs, endUs);
  events_.RunUntil(endUs);
}

void OverloadModel::ScheduleArrivals(double aPerSecond,
                                     int64_t aBeginUs,
                                     int64_t aEndUs)
{
  events_.At(aBeginUs, [=, this] { NextArrival(aPerSecond, aEndUs); });
}

void OverloadModel::NextArrival(double aPerSecond, int64_t aEndUs)
{
  if (events_.NowUs() >= aEndUs) {
    return;
  }
  ++Second().newRequests_;
  Arrive(random_(), 0);
  events_.After(Exponential(static_cast<double>(kUsPerSecond) / aPerSecond),
                [=, this] { NextArrival(aPerSecond, aEndUs); });
}

void OverloadModel::Arrive(uint64_t aKey, int aRepeats)
{
  const size_t router = routerOfCaller_(random_);
  const size_t gate =
    router * busySlots_.size() + static_cast<size_t>(aKey % busySlots_.size());
  const uint64_t id = nextId_++;
  const TimeMs deadlineMs = events_.NowMs() + options_.deadlineMs_;
  requests_[id] = { .key_ = aKey,
                    .gate_ = gate,
                    .arrivedUs_ = events_.NowUs(),
                    .deadlineMs_ = deadlineMs,
                    .repeats_ = aRepeats };
  budgets_[router].OnRequest();
  GateActions actions;
  gates_[gate].gate_->Arrive(
    { id, aKey, deadlineMs }, events_.NowMs(), actions);
  Apply(gate, actions);
}

void OverloadModel::Apply(size_t aGate, const GateActions& aActions)
{
  for (const uint64_t id : aActions.run_) {
    Send(id);
  }
  for (const auto& refused : aActions.refuse_) {
    Refuse(refused.id_, refused.retryAfterMs_);
  }
  Gate& gate = gates_[aGate];
  if (aActions.nextPollMs_ >= gate.pollMs_) {
    return;
  }
  gate.pollMs_ = aActions.nextPollMs_;
  const auto timeUs =
    static_cast<int64_t>(static_cast<double>(gate.pollMs_) * kUsPerMs);
  events_.At(timeUs, [this, aGate] {
    if (gates_[aGate].pollMs_ > events_.NowMs()) {
      return;
    }
    gates_[aGate].pollMs_ = INT64_MAX;
    GateActions actions;
    gates_[aGate].gate_->Poll(events_.NowMs(), actions);
    Apply(aGate, actions);
  });
}

void OverloadModel::Send(uint64_t aId)
{
  requests_[aId].sentUs_ = events_.NowUs();
  events_.After(options_.networkMs_ * kUsPerMs,
                [this, aId] { ReachServer(aId); });
}

void OverloadModel::ReachServer(uint64_t aId)
{
  const size_t server = gates_[requests_[aId].gate_].server_;
  if (busySlots_[server] < options_.slots_) {
    RunAtServer(server, aId);
  } else if (waiting_[server].size() < options_.serverQueue_) {
    waiting_[server].push_back(aId);
  } else {
    events_.After(options_.networkMs_ * kUsPerMs, [this, aId] { Shed(aId); });
  }
}

void OverloadModel::RunAtServer(size_t aServer, uint64_t aId)
{
  ++busySlots_[aServer];
  events_.After(Exponential(options_.serviceMs_ * kUsPerMs), [=, this] {
    --busySlots_[aServer];
    events_.After(options_.networkMs_ * kUsPerMs, [this, aId] { Answer(aId); });
    if (!waiting_[aServer].empty()) {
      const uint64_t next = waiting_[aServer].front();
      waiting_[aServer].pop_front();
      RunAtServer(aServer, next);
    }
  });
}

void OverloadModel::Answer(uint64_t aId)
{
  const Request request = requests_[aId];
  requests_.erase(aId);
  if (events_.NowMs() <= request.deadlineMs_) {
    ++Second().answersInTime_;
    if (request.repeats_ == 0) {
      const auto second =
        static_cast<size_t>(request.arrivedUs_ / kUsPerSecond);
      ++seconds_[second].newInTime_;
    }
  } else {
    ++Second().answersLate_;
  }
  GateActions actions;
  gates_[request.gate_].gate_->Finish(
    AttemptResult::Answered,
    static_cast<double>(events_.NowUs() - request.sentUs_) / kUsPerMs,
    events_.NowMs(),
    actions);
  Apply(request.gate_, actions);
}

void OverloadModel::Shed(uint64_t aId)
{
  ++Second().sheds_;
  const int sheds = ++requests_[aId].sheds_;
  const Request request = requests_[aId];
  Gate& gate = gates_[request.gate_];
  // The request that came back first, so that it keeps its place.
  GateActions actions;
  gate.gate_->Finish(AttemptResult::Shed, 0, events_.NowMs(), actions);
  if (sheds <= options_.maxSheds_ &&
      (!options_.chargeSheds_ || budgets_[gate.router_].TryTake())) {
    gate.gate_->Arrive(
      { aId, request.key_, request.deadlineMs_ }, events_.NowMs(), actions);
  } else {
    Refuse(aId, gate.gate_->RetryAfterMs(events_.NowMs()));
  }
  Apply(request.gate_, actions);
}

void OverloadModel::Refuse(uint64_t aId, TimeMs aRetryAfterMs)
{
  ++Second().refused_;
  const Request request = requests_[aId];
  requests_.erase(aId);
  if (request.repeats_ >= options_.maxRepeats_) {
    return;
  }
  constexpr double kImpatientMs = 100;
  const bool isImpatient =
    std::bernoulli_distribution(options_.impatient_)(random_);
  const double delayMs =
    isImpatient ? kImpatientMs : static_cast<double>(aRetryAfterMs);
  events_.After(delayMs * kUsPerMs, [this, request] {
    Arrive(request.key_, request.repeats_ + 1);
  });
}

OverloadSecond& OverloadModel::Second()
{
  return seconds_[static_cast<size_t>(events_.NowUs() / kUsPerSecond)];
}

double OverloadModel::Exponential(double aMean)
{
  return std::exponential_distribution<double>(1 / aMean)(random_);
}

}
