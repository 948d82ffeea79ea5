// Non-blocking TCP on the event loop: streams with a bounded output buffer, and a listener. Single-threaded.
#pragma once

#include <ev++.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "net/read_queue.hpp"
#include "net/socket.hpp"

namespace bellstair::net {

// One TCP connection. The content of the byte stream is up to its owner.
class Stream {
 public:
  // The most that is read by one system call.
  static constexpr std::size_t kReadBufferBytes = std::size_t{64} * 1024;
  // The most that is read in one turn of the read queue, unless set_reading() tells otherwise.
  static constexpr std::size_t kReadTurnBytes = std::size_t{16} * 1024;

  // Callbacks, all invoked from the event loop. Any of them may be empty.
  struct Handlers {
    std::function<void()> connected;             // an outgoing connection has been established
    std::function<void(std::string_view)> data;  // bytes were received; valid during the call only
    std::function<void()> end_of_input;          // the peer has closed its sending side
    std::function<void()> closed;                // the connection failed, or could not be established
    std::function<void()> drained;               // the output buffer has become empty
  };

  // `connecting`: the connection is still being established, see begin_connect(). `max_unsent_bytes`:
  // capacity of the output buffer. `read_queue`: decides when it is read, and must outlive it; null: whenever
  // it is readable.
  Stream(ev::loop_ref loop, Fd fd, bool connecting, std::size_t max_unsent_bytes,
         ReadQueue* read_queue = nullptr);
  ~Stream();
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  void set_handlers(Handlers handlers) { handlers_ = std::move(handlers); }
  // Sends or buffers the bytes. Returns false if the connection has failed or the output buffer would exceed
  // its capacity; the `closed` handler then follows from the event loop, never from within this call.
  bool write(std::string_view bytes);
  // Closes the descriptor at once; no handler is called any more. Safe to call from within a handler.
  void close();
  // Like close(), but resets the connection and drops its unsent data. Without that the kernel would go on
  // sending it to a machine that was unreachable and comes back.
  void abort();
  // Stops (true) or resumes (false) reading.
  void pause_reading(bool paused);
  // Sets the priority with which it waits in the read queue from its next turn on, and how many bytes are
  // read at most in a turn, also in the current one. May be called from within a handler.
  void set_reading(ReadPriority priority, std::size_t max_turn_bytes = kReadTurnBytes);
  [[nodiscard]] ReadPriority read_priority() const { return read_priority_; }
  // Has it read in its turn, without waiting until the loop reports that it is readable.
  void queue_for_reading();
  // Reads now that it is this stream's turn in the read queue; does nothing unless wants_input(). Returns
  // whether nothing is left to read.
  bool read_input();
  // Whether it waits for input: it is open, not paused, and the peer has not closed its sending side.
  [[nodiscard]] bool wants_input() const;
  // Closes the sending side once the output buffer is empty. Reading goes on: closing a socket with unread
  // input would reset the connection, and the peer would lose what it has not read yet.
  void shut_down_write();

  [[nodiscard]] bool open() const { return static_cast<bool>(fd_); }
  [[nodiscard]] bool connecting() const { return connecting_; }
  // The peer accepted the connection and reset it before this side saw it established.
  [[nodiscard]] bool reset_before_connected() const { return reset_before_connected_; }
  [[nodiscard]] std::size_t unsent_bytes() const { return output_.size() - output_offset_; }
  // Bytes passed to the kernel since the connection was opened.
  [[nodiscard]] std::size_t sent_bytes() const { return sent_bytes_; }
  // For an idle stream: true if the peer has closed it, or has sent unsolicited data.
  [[nodiscard]] bool closed_by_peer() const;
  // How long ago the peer's last bytes were received, whether or not they have been read; 0 if that is
  // unknown.
  [[nodiscard]] core::Time time_since_data() const { return net::time_since_data(fd_.get()); }

 private:
  void on_io(ev::io& watcher, int events);
  // Reads once, at most so many bytes. Returns how many it has read.
  std::size_t read(std::size_t max_bytes);
  void flush();
  void fail();

  ev::io io_;
  Fd fd_;
  bool connecting_, paused_ = false, input_ended_ = false, failed_ = false, write_closing_ = false,
                    reset_before_connected_ = false;
  bool restarting_ = false;  // see restart_watcher()
  std::size_t max_unsent_bytes_;
  ReadQueue* read_queue_;
  ReadPriority read_priority_ = ReadPriority::prompt;
  std::size_t max_turn_bytes_ = kReadTurnBytes;
  std::string output_;
  std::size_t output_offset_ = 0, sent_bytes_ = 0;
  Handlers handlers_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // set to false by close()

  void update_watcher();
  void restart_watcher();
};

// Accepts connections. When the process is out of descriptors, it frees a reserved one to accept and close
// the pending connection, which would otherwise wake the event loop again and again. If the reserved
// descriptor is not available either, it pauses accepting.
class Listener {
 public:
  // `accepted` is called with each new connection, which is non-blocking and has TCP_NODELAY set.
  // `can_accept`: whether the next connection can be accepted now; if not, that is tried again after a pause.
  Listener(
      ev::loop_ref loop, Fd fd, std::function<void(Fd)> accepted,
      std::function<bool()> can_accept = [] { return true; });

 private:
  void on_io(ev::io& watcher, int events);
  void on_resume(ev::timer& timer, int events);
  void open_reserve();
  void pause();
  ev::io io_;
  ev::timer resume_;
  Fd fd_, reserve_;
  std::function<void(Fd)> accepted_;
  std::function<bool()> can_accept_;
};

}  // namespace bellstair::net
