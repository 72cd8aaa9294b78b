#pragma once

#include "common/Types.hpp"
#include "gateway/PlatformInterface.hpp"

namespace cactuspitch {

/// Estimated load and service time of one backend server. Requests of this
/// gateway are counted exactly; those of other gateways are estimated from the
/// server's load reports, which are already old when they arrive. Does no I/O.
class BackendLoad
{
public:
  explicit BackendLoad(int aSlots = 1);

  void SetSlots(int aSlots);
  /// Until aUntilMs the server is warming up and slower than usual.
  void SetColdUntil(TimeMs aUntilMs) { coldUntilMs_ = aUntilMs; }
  /// Mean service time over the servers of the service, used until this server
  /// is measured.
  void SetDefaultServiceTimeMs(double aServiceTimeMs)
  {
    defaultServiceTimeMs_ = aServiceTimeMs;
  }

  void OnSent();
  /// The server sent a complete response after aLatencyMs. aLoadAtSend is the
  /// Load at the time of sending.
  void OnResponse(double aLatencyMs, double aLoadAtSend, TimeMs aNowMs);
  void OnShed(TimeMs aNowMs);
  void OnFailed(TimeMs aNowMs);
  void OnEnded();
  void OnReport(const ReportedLoad& aReport, TimeMs aNowMs);
  /// Applies a load report that another gateway received. aServiceTimeMs is 0
  /// when unknown.
  void OnSharedReport(double aLoad, double aServiceTimeMs, TimeMs aNowMs);

  int InFlight() const { return inFlight_; }
  /// Requests in progress at the server, those of other gateways included.
  double Load(TimeMs aNowMs) const;
  /// Current duration of work relative to the mean, from the last report. The
  /// server's host changes speed several times a second, so it tends to 1 as
  /// the report gets older.
  double RelativeSlowness(TimeMs aNowMs) const;
  /// Service time of one request, without queueing.
  double ServiceTimeMs(TimeMs aNowMs) const;
  /// Expected response time of one more request, with queueing.
  double ExpectedMs(TimeMs aNowMs) const;
  /// Share of recent requests that failed or were shed, 0 to 1.
  double FailureShare(TimeMs aNowMs) const;
  bool IsMeasured() const { return sampleCount_ >= kMinSamples; }
  /// Mean service time measured by this gateway; 0 until it is measured.
  double MeasuredServiceTimeMs() const
  {
    return IsMeasured() ? serviceTimeMs_ : 0;
  }
  /// Requests in progress according to the server's last report to this
  /// gateway.
  double ReportedTotal() const { return reportedTotal_; }

private:
  static constexpr int kMinSamples = 5;

  int slots_;
  int inFlight_ = 0;
  double otherGatewaysLoad_ = 0; ///< estimated requests of other gateways
  double reportedTotal_ = 0;
  /// Last reported slowness, and the mean of the reports.
  double slowness_ = 1;
  double meanSlowness_ = 1;
  TimeMs slownessMs_ = 0;
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
