#pragma once

#include "common/Types.hpp"

#include <deque>
#include <mutex>
#include <optional>

#include <nlohmann/json.hpp>

namespace cactuspitch {

/// What a backend server reports about its health and load; it can be told to
/// report an old state or a false one.
class BackendLoadReporter
{
public:
  struct Sample
  {
    TimeMs timeMs_ = 0;
    int inFlight_ = 0;
    double load_ = 0; ///< busy share of the slots
  };

  /// Members: lagMs; lie, an object that replaces members of the report, or
  /// null for the truth.
  void Configure(const nlohmann::json& aDocument);
  void Add(const Sample& aSample);
  void AddStatus(nlohmann::json& aStatus, TimeMs aNowMs) const;

private:
  mutable std::mutex mutex_;
  std::deque<Sample> samples_;
  TimeMs lagMs_ = 0;
  nlohmann::json overrides_;
};

}
