#pragma once

#include "common/Types.hpp"

#include <deque>
#include <mutex>
#include <optional>

#include <nlohmann/json.hpp>

namespace cactuspitch {

/// Health and load figures that a backend server reports. Tests can make it
/// report outdated or false figures.
class BackendLoadReporter
{
public:
  struct Sample
  {
    TimeMs timeMs_ = 0;
    int inFlight_ = 0;
    double load_ = 0; ///< fraction of the slots in use
  };

  /// Sets the faults of the report. Members of aDocument, all optional:
  /// - lagMs: age of the reported sample.
  /// - lie: object whose members replace those of the report; null disables
  ///   the replacement.
  void Configure(const nlohmann::json& aDocument);
  void Add(const Sample& aSample);
  /// Adds the figures sampled lagMs before aNowMs to aStatus, zeros when there
  /// is no such sample, and then applies the replacements.
  void AddStatus(nlohmann::json& aStatus, TimeMs aNowMs) const;

private:
  mutable std::mutex mutex_;
  std::deque<Sample> samples_;
  TimeMs lagMs_ = 0;
  nlohmann::json overrides_;
};

}
