#pragma once

#include "net/EventLoop.hpp"

#include <cstdint>
#include <string>
#include <string_view>

#include <netinet/in.h>

namespace cactuspitch {

/// Numeric IPv4 address and port.
struct Endpoint
{
  uint32_t ip_ = 0; ///< network byte order
  uint16_t port_ = 0;

  /// Returns false when aText is not "IP:port".
  static bool Parse(std::string_view aText, Endpoint& aResult);
  std::string ToText() const;
  sockaddr_in ToSockaddr() const;
  bool operator==(const Endpoint&) const = default;
};

enum class CloseReason : uint8_t
{
  EndOfStream, ///< the peer closed in order
  Reset,       ///< error on an established connection
  Refused,     ///< nothing listens at the address
  Unreachable, ///< other error while connecting
  Count
};

template<>
struct EnumNames<CloseReason>
{
  static constexpr std::string_view kNames[] = { "end-of-stream",
                                                 "reset",
                                                 "refused",
                                                 "unreachable" };
};

class TcpStream;

/// Receives the events of one stream. A handler may close the stream.
class StreamHandler
{
public:
  virtual ~StreamHandler() = default;
  virtual void OnConnected() {}
  /// Bytes were appended to the stream's input.
  virtual void OnInput() = 0;
  /// All output was passed to the kernel.
  virtual void OnOutputDrained() {}
  /// The peer or an error closed the stream. Not called after Close() or
  /// Abort().
  virtual void OnStreamClosed(CloseReason aReason) = 0;
};

/// Non-blocking TCP connection with an input and an output buffer.
class TcpStream
{
public:
  TcpStream(EventLoop& aLoop, StreamHandler& aHandler);
  ~TcpStream();
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  /// Starts to connect. Returns false when this fails at once.
  bool Connect(const Endpoint& aEndpoint);
  /// Takes ownership of a connected socket.
  void Adopt(int aFd);

  /// Writes what the kernel accepts at once and queues the rest.
  void Write(std::string_view aBytes);
  std::string& Input() { return input_; }
  size_t PendingOutput() const { return output_.size() - outputOffset_; }
  /// Bytes that the kernel has accepted since the connection was made.
  uint64_t WrittenBytes() const { return writtenBytes_; }
  void PauseReading(bool aPaused);
  /// True when the peer has closed the connection and all that it sent was
  /// read.
  bool HasPeerClosed() const;

  /// Shuts down the sending direction; reading goes on.
  void ShutdownOutput();
  bool IsOpen() const { return fd_ >= 0; }
  bool IsConnected() const { return connected_; }
  void Close();
  /// Closes with a reset, so that unsent bytes are dropped.
  void Abort();

private:
  void OnIo(bool aReadable, bool aWritable);
  void FinishConnect();
  void ReadAvailable();
  void Flush();
  void UpdateEvents();
  void Fail(CloseReason aReason);

  EventLoop& loop_;
  StreamHandler& handler_;
  IoWatcher watcher_;
  int fd_ = -1;
  bool connected_ = false;
  bool paused_ = false;
  std::string input_;
  std::string output_;
  size_t outputOffset_ = 0;
  uint64_t writtenBytes_ = 0;
};

/// Accepts connections on an address.
class TcpListener
{
public:
  using AcceptCallback = std::function<void(int aFd)>;

  TcpListener(EventLoop& aLoop, AcceptCallback aCallback);
  ~TcpListener();

  bool Listen(const Endpoint& aEndpoint);
  void Close();

private:
  void AcceptAvailable();

  AcceptCallback callback_;
  IoWatcher watcher_;
  int fd_ = -1;
};

}
