#pragma once

#include "CancelSignal.hpp"
#include "Clock.hpp"

#include <cstddef>
#include <string>

#include <absl/status/status.h>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/error.hpp>
#include <sys/uio.h>

namespace cactuspitch {

/// Non-blocking TCP socket with blocking calls that end at a deadline or on
/// cancellation. Meets the SyncStream requirements of Boost.Beast.
class DeadlineSocket
{
public:
  explicit DeadlineSocket(const Clock& aClock);
  ~DeadlineSocket();
  DeadlineSocket(const DeadlineSocket&) = delete;
  DeadlineSocket& operator=(const DeadlineSocket&) = delete;

  /// Sets deadline and cancellation signal of all following calls. aCancel may
  /// be null.
  void SetDeadline(TimeMs aDeadlineMs, const CancelSignal* aCancel);

  /// Connects to aAddress, an "IP:port". Unavailable when the connection was
  /// refused, InvalidArgument when aAddress is malformed; otherwise
  /// DeadlineExceeded, Cancelled, ResourceExhausted or Unknown.
  absl::Status Connect(const std::string& aAddress);
  void Close();
  bool IsOpen() const { return fd_ >= 0; }
  /// True when the peer closed the idle connection or sent unexpected bytes.
  bool IsClosedOrReadable() const;
  /// Makes the next read poll the socket first, which saves a recv() call when
  /// no data can have arrived yet.
  void PollBeforeNextRead() { pollBeforeNextRead_ = true; }
  size_t BytesWritten() const { return bytesWritten_; }
  void ResetBytesWritten() { bytesWritten_ = 0; }

  template<typename MutableBuffers>
  size_t read_some(const MutableBuffers& aBuffers,
                   boost::beast::error_code& aError)
  {
    const boost::asio::mutable_buffer first =
      *boost::asio::buffer_sequence_begin(aBuffers);
    return Receive(first.data(), first.size(), aError);
  }

  template<typename MutableBuffers>
  size_t read_some(const MutableBuffers& aBuffers)
  {
    boost::beast::error_code error;
    const size_t count = read_some(aBuffers, error);
    if (error) {
      throw boost::beast::system_error(error);
    }
    return count;
  }

  template<typename ConstBuffers>
  size_t write_some(const ConstBuffers& aBuffers,
                    boost::beast::error_code& aError)
  {
    constexpr size_t kMaxParts = 16;
    iovec parts[kMaxParts];
    size_t count = 0;
    const auto end = boost::asio::buffer_sequence_end(aBuffers);
    for (auto it = boost::asio::buffer_sequence_begin(aBuffers);
         it != end && count < kMaxParts;
         ++it) {
      const boost::asio::const_buffer part = *it;
      parts[count++] = { const_cast<void*>(part.data()), part.size() };
    }
    return Send(parts, count, aError);
  }

  template<typename ConstBuffers>
  size_t write_some(const ConstBuffers& aBuffers)
  {
    boost::beast::error_code error;
    const size_t count = write_some(aBuffers, error);
    if (error) {
      throw boost::beast::system_error(error);
    }
    return count;
  }

private:
  size_t Receive(void* aData, size_t aSize, boost::beast::error_code& aError);
  size_t Send(const iovec* aParts,
              size_t aCount,
              boost::beast::error_code& aError);
  /// Waits for the poll events. False on error, timeout or cancellation, with
  /// the reason in aError.
  bool Wait(short aEvents, boost::beast::error_code& aError) const;

  const Clock& clock_;
  int fd_ = -1;
  TimeMs deadlineMs_ = 0;
  const CancelSignal* cancel_ = nullptr;
  size_t bytesWritten_ = 0;
  bool pollBeforeNextRead_ = false;
};

}
