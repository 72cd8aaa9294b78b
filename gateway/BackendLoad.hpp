#pragma once

#include "common/Types.hpp"
#include "gateway/PlatformInterface.hpp"

namespace cactuspitch {

/// Load and speed of one backend server as this gateway can tell: its own
/// requests are known, those of the other gateways follow from the server's
/// reports, which are old when they arrive. Pure.
class BackendLoad
{
public:
  explicit BackendLoad(int aSlots = 1);

  void SetSlots(int aSlots);
  /// Until aUntilMs the server works at a part of its speed.
  void SetColdUntil(TimeMs aUntilMs) { coldUntilMs_ = aUntilMs; }
  /// Mean work time of the service, used until the server is measured.
  void SetDefaultServiceTimeMs(double aServiceTimeMs)
  {
    defaultServiceTimeMs_ = aServiceTimeMs;
  }

  void OnSent();
  /// The server gave a full answer after aLatencyMs.
  void OnResponse(double aLatencyMs, double aLoadAtSend, TimeMs aNowMs);
  void OnShed(TimeMs aNowMs);
  void OnFailed(TimeMs aNowMs);
  void OnEnded();
  void OnReport(const ReportedLoad& aReport, TimeMs aNowMs);
  /// What another gateway saw; aServiceTimeMs 0 when it is not known.
  void OnSharedReport(double aLoad, double aServiceTimeMs, TimeMs aNowMs);

  int InFlight() const { return inFlight_; }
  /// Requests at the server, own and others'.
  double Load(TimeMs aNowMs) const;
  /// Time of one request that does not queue.
  double ServiceTimeMs(TimeMs aNowMs) const;
  /// Expected time until the answer of one more request.
  double ExpectedMs(TimeMs aNowMs) const;
  /// Share of recent requests that failed or were shed, 0 to 1.
  double FailureShare(TimeMs aNowMs) const;
  bool IsMeasured() const { return sampleCount_ >= kMinSamples; }
  /// Own mean of the work time, 0 until it is measured.
  double MeasuredServiceTimeMs() const
  {
    return IsMeasured() ? serviceTimeMs_ : 0;
  }
  /// Requests there by the last report, own or shared.
  double ReportedTotal() const { return reportedTotal_; }

private:
  static constexpr int kMinSamples = 5;

  int slots_;
  int inFlight_ = 0;
  double otherGatewaysLoad_ = 0; ///< requests of other gateways
  double reportedTotal_ = 0;
  double sharedServiceTimeMs_ = 0;
  TimeMs reportedMs_ = 0;
  TimeMs lastShedMs_ = 0;
  TimeMs coldUntilMs_ = 0;
  double defaultServiceTimeMs_ = 100;
  double serviceTimeMs_ = 0;
  int sampleCount_ = 0;
  double failureShare_ = 0;
  TimeMs failureShareMs_ = 0;
};

}
