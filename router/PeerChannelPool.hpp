#pragma once

#include "common/Clock.hpp"
#include "rpc/ThriftChannel.hpp"

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

namespace cactuspitch {

/// Thrift channels to peers, reused by many threads. A peer that did not answer
/// in time is left out for a moment, so that it does not hold every request up.
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

  /// Runs aCall(client). Calls must be repeatable: one that fails on a reused
  /// channel is sent again on a new one.
  template<typename Call>
  absl::Status Run(const std::string& aAddress, Call&& aCall)
  {
    auto channel = Take(aAddress);
    if (!channel.leftOut_.ok()) {
      return channel.leftOut_;
    }
    const TimeMs start = clock_.NowMs();
    auto status = absl::UnknownError("");
    if (channel.reused_) {
      status = channel.reused_->Run(aCall);
    }
    const bool wasQuick = clock_.NowMs() - start < callTimeoutMs_;
    if (!status.ok() && wasQuick) {
      channel.reused_ = std::make_unique<Channel>(
        aAddress, connectTimeoutMs_, callTimeoutMs_, secret_);
      status = channel.reused_->Run(aCall);
    }
    Return(aAddress, std::move(channel.reused_), status);
    return status;
  }

private:
  using Channel = ThriftChannel<Client>;
  static constexpr size_t kMaxIdle = 16;
  static constexpr TimeMs kLeaveOutMs = 500;

  struct Peer
  {
    std::vector<std::unique_ptr<Channel>> idle_;
    TimeMs leftOutUntilMs_ = 0;
    absl::Status failure_;
  };
  struct Taken
  {
    absl::Status leftOut_;
    std::unique_ptr<Channel> reused_;
  };

  Taken Take(const std::string& aAddress)
  {
    const std::lock_guard lock(mutex_);
    auto& peer = peers_[aAddress];
    if (clock_.NowMs() < peer.leftOutUntilMs_) {
      return { peer.failure_, nullptr };
    }
    Taken taken;
    if (!peer.idle_.empty()) {
      taken.reused_ = std::move(peer.idle_.back());
      peer.idle_.pop_back();
    }
    return taken;
  }

  void Return(const std::string& aAddress,
              std::unique_ptr<Channel> aChannel,
              const absl::Status& aStatus)
  {
    std::vector<std::unique_ptr<Channel>> closed;
    const std::lock_guard lock(mutex_);
    auto& peer = peers_[aAddress];
    if (!aStatus.ok()) {
      closed.swap(peer.idle_);
      peer.failure_ = aStatus;
      peer.leftOutUntilMs_ = clock_.NowMs() + kLeaveOutMs;
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
