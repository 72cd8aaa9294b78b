#pragma once

#include "common/Clock.hpp"
#include "rpc/ThriftChannel.hpp"

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

namespace cactuspitch {

/// Thread-safe pool of Thrift channels to peers. After a failed call, calls to
/// the same peer fail immediately for kBackoffMs, so that an unresponsive peer
/// does not delay every request.
template<typename Client>
class PeerChannelPool
{
public:
  PeerChannelPool(const Clock& aClock,
                  int aConnectTimeoutMs,
                  int aCallTimeoutMs,
                  std::string aSecret = {})
    : clock_(aClock)
    , connectTimeoutMs_(aConnectTimeoutMs)
    , callTimeoutMs_(aCallTimeoutMs)
    , secret_(std::move(aSecret))
  {
  }

  /// Runs aCall(client). The call must be idempotent: when it fails on a reused
  /// channel, it is retried on a new one.
  template<typename Call>
  absl::Status Run(const std::string& aAddress, Call&& aCall)
  {
    auto acquired = Acquire(aAddress);
    if (!acquired.backoffStatus_.ok()) {
      return acquired.backoffStatus_;
    }
    const TimeMs start = clock_.NowMs();
    auto status = absl::UnknownError("");
    if (acquired.channel_) {
      status = acquired.channel_->Run(aCall);
    }
    const bool wasQuick = clock_.NowMs() - start < callTimeoutMs_;
    if (!status.ok() && wasQuick) {
      acquired.channel_ = std::make_unique<Channel>(
        aAddress, connectTimeoutMs_, callTimeoutMs_, secret_);
      status = acquired.channel_->Run(aCall);
    }
    Release(aAddress, std::move(acquired.channel_), status);
    return status;
  }

private:
  using Channel = ThriftChannel<Client>;
  static constexpr size_t kMaxIdle = 16;
  static constexpr TimeMs kBackoffMs = 500;

  struct Peer
  {
    std::vector<std::unique_ptr<Channel>> idle_;
    TimeMs backoffUntilMs_ = 0;
    absl::Status lastFailure_;
  };
  struct AcquiredChannel
  {
    absl::Status backoffStatus_;
    std::unique_ptr<Channel> channel_;
  };

  AcquiredChannel Acquire(const std::string& aAddress)
  {
    const std::lock_guard lock(mutex_);
    auto& peer = peers_[aAddress];
    if (clock_.NowMs() < peer.backoffUntilMs_) {
      return { peer.lastFailure_, nullptr };
    }
    AcquiredChannel acquired;
    if (!peer.idle_.empty()) {
      acquired.channel_ = std::move(peer.idle_.back());
      peer.idle_.pop_back();
    }
    return acquired;
  }

  void Release(const std::string& aAddress,
               std::unique_ptr<Channel> aChannel,
               const absl::Status& aStatus)
  {
    std::vector<std::unique_ptr<Channel>> closed;
    const std::lock_guard lock(mutex_);
    auto& peer = peers_[aAddress];
    if (!aStatus.ok()) {
      closed.swap(peer.idle_);
      peer.lastFailure_ = aStatus;
      peer.backoffUntilMs_ = clock_.NowMs() + kBackoffMs;
    } else if (peer.idle_.size() < kMaxIdle) {
      peer.idle_.push_back(std::move(aChannel));
    }
  }

  const Clock& clock_;
  const int connectTimeoutMs_;
  const int callTimeoutMs_;
  const std::string secret_;
  std::mutex mutex_;
  absl::flat_hash_map<std::string, Peer> peers_;
};

}
