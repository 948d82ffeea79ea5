#include "net/stream.hpp"

#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace bellstair::net {
namespace {
// How long a listener that cannot accept waits before it tries again.
constexpr double kAcceptPauseSeconds = 0.05;
// In one iteration of the loop, time for accepting connections.
constexpr core::Time kAcceptTime = std::chrono::milliseconds(5);
}  // namespace

Stream::Stream(ev::loop_ref loop, Fd fd, bool connecting, std::size_t max_unsent_bytes, ReadQueue* read_queue)
    : io_(loop),
      fd_(std::move(fd)),
      connecting_(connecting),
      max_unsent_bytes_(max_unsent_bytes),
      read_queue_(read_queue) {
  io_.set<Stream, &Stream::on_io>(this);
  if (fd_) update_watcher();
}

Stream::~Stream() {
  if (read_queue_ != nullptr) read_queue_->remove(*this);
}

bool Stream::wants_input() const { return fd_ && !connecting_ && !paused_ && !input_ended_ && !failed_; }

void Stream::update_watcher() {
  if (restarting_) return;
  int events = 0;
  if (wants_input()) events |= ev::READ;
  if (connecting_ || unsent_bytes() > 0 || failed_) events |= ev::WRITE;
  if (events == 0) {
    io_.stop();
  } else if (!io_.is_active()) {
    io_.start(fd_.get(), events);
  } else if (io_.events != events) {
    io_.set(events);
  }
}

// libev could not change the events that the kernel watches, and has stopped the watcher. It assumes that the
// kernel knows the events last requested and does not request the same ones again, so a different set is
// requested here, and not changed before one of its events has occurred: that shows that the kernel knows it.
void Stream::restart_watcher() {
  restarting_ = true;
  io_.start(fd_.get(), io_.events == ev::WRITE ? ev::READ | ev::WRITE : ev::WRITE);
}

bool Stream::write(std::string_view bytes) {
  if (!fd_ || failed_) return false;
  if (unsent_bytes() == 0 && !connecting_) {
    const auto sent = ::send(fd_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent < 0 && !transient(errno)) {
      failed_ = true;  // reported from the event loop: the caller may not expect a callback now
      update_watcher();
      return false;
    }
    if (sent > 0) {
      sent_bytes_ += static_cast<std::size_t>(sent);
      bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
  }
  if (bytes.empty()) return true;
  if (unsent_bytes() + bytes.size() > max_unsent_bytes_) {
    failed_ = true;
    update_watcher();
    return false;
  }
  output_.append(bytes);
  update_watcher();
  return true;
}

void Stream::close() {
  *alive_ = false;
  alive_ = std::make_shared<bool>(true);
  if (read_queue_ != nullptr) read_queue_->remove(*this);
  io_.stop();
  fd_.reset();
}

void Stream::abort() {
  const linger reset_on_close{1, 0};
  if (fd_) ::setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
  close();
}

void Stream::shut_down_write() {
  write_closing_ = true;
  if (fd_ && unsent_bytes() == 0) ::shutdown(fd_.get(), SHUT_WR);
}

void Stream::pause_reading(bool paused) {
  paused_ = paused;
  if (fd_) update_watcher();
}

bool Stream::closed_by_peer() const {
  char byte = 0;
  const auto received = ::recv(fd_.get(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received >= 0 || !transient(errno);
}

void Stream::fail() {
  io_.stop();
  fd_.reset();
  if (handlers_.closed) {
    const auto closed = handlers_.closed;  // a copy: the handler may destroy this stream
    closed();
  }
}

void Stream::on_io(ev::io&, int events) {
  if (failed_) return fail();
  if ((events & ev::ERROR) != 0) return restart_watcher();
  if (std::exchange(restarting_, false)) update_watcher();
  if (connecting_) {
    if (const int error = connect_error(fd_.get()); error != 0) {
      reset_before_connected_ = error == ECONNRESET;
      return fail();
    }
    connecting_ = false;
    const auto alive = alive_;
    update_watcher();
    if (handlers_.connected) handlers_.connected();
    if (!*alive) return;
    if (unsent_bytes() > 0) flush();
    return;
  }
  const auto alive = alive_;
  if ((events & ev::WRITE) != 0) flush();
  if (!*alive || !fd_) return;
  if ((events & ev::READ) != 0) queue_for_reading();
}

void Stream::queue_for_reading() {
  if (read_queue_ == nullptr) {
    read(kReadBufferBytes);
    return;
  }
  read_queue_->add(*this);
}

void Stream::set_reading(ReadPriority priority, std::size_t max_turn_bytes) {
  read_priority_ = priority;
  max_turn_bytes_ = max_turn_bytes;
}

bool Stream::read_input() {
  const auto alive = alive_;
  std::size_t total = 0;
  // To its end, since the peer may have closed the connection behind what it has sent.
  while (*alive && wants_input() && total < max_turn_bytes_) {
    const auto received = read(std::min(kReadTurnBytes, max_turn_bytes_ - total));
    if (received == 0) return true;
    total += received;
  }
  return false;
}

std::size_t Stream::read(std::size_t max_bytes) {
  static std::array<char, kReadBufferBytes> buffer;  // shared: there is one event loop on one thread
  const auto received = ::recv(fd_.get(), buffer.data(), std::min(max_bytes, buffer.size()), 0);
  if (received > 0) {
    const auto size = static_cast<std::size_t>(received);
    if (handlers_.data) handlers_.data({buffer.data(), size});
    return size;
  }
  if (received < 0 && transient(errno)) return 0;
  if (received < 0) {
    fail();
    return 0;
  }
  input_ended_ = true;
  update_watcher();
  if (handlers_.end_of_input) handlers_.end_of_input();
  return 0;
}

void Stream::flush() {
  while (unsent_bytes() > 0) {
    const auto sent = ::send(fd_.get(), output_.data() + output_offset_, unsent_bytes(), MSG_NOSIGNAL);
    if (sent < 0) {
      if (transient(errno)) break;
      return fail();
    }
    output_offset_ += static_cast<std::size_t>(sent);
    sent_bytes_ += static_cast<std::size_t>(sent);
  }
  if (unsent_bytes() == 0) {
    if (write_closing_) ::shutdown(fd_.get(), SHUT_WR);
    output_.clear();
    output_offset_ = 0;
    if (output_.capacity() > std::size_t{16} * 1024) output_.shrink_to_fit();
  }
  update_watcher();
  if (unsent_bytes() == 0 && handlers_.drained) handlers_.drained();
}

Listener::Listener(ev::loop_ref loop, Fd fd, std::function<void(Fd)> accepted,
                   std::function<bool()> can_accept)
    : io_(loop),
      resume_(loop),
      fd_(std::move(fd)),
      accepted_(std::move(accepted)),
      can_accept_(std::move(can_accept)) {
  open_reserve();
  resume_.set<Listener, &Listener::on_resume>(this);
  io_.set<Listener, &Listener::on_io>(this);
  io_.start(fd_.get(), ev::READ);
}

void Listener::open_reserve() { reserve_ = Fd(::open("/dev/null", O_RDONLY | O_CLOEXEC)); }

void Listener::pause() {
  io_.stop();
  resume_.start(kAcceptPauseSeconds, 0);
}

void Listener::on_resume(ev::timer&, int) {
  if (!reserve_) open_reserve();
  io_.start(fd_.get(), ev::READ);
}

void Listener::on_io(ev::io&, int events) {
  if ((events & ev::ERROR) != 0) return pause();  // libev could not watch the descriptor
  const auto end = core::monotonic_now() + kAcceptTime;
  do {
    if (!can_accept_()) return pause();
    Fd fd(::accept4(fd_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!fd && out_of_descriptors(errno) && reserve_) {
      reserve_.reset();
      const bool was_pending = static_cast<bool>(Fd(::accept4(fd_.get(), nullptr, nullptr, SOCK_CLOEXEC)));
      open_reserve();
      if (was_pending) continue;
      return;
    }
    if (!fd && errno != EAGAIN && errno != EINTR && errno != ECONNABORTED) pause();
    if (!fd) return;
    const int on = 1;
    ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    accepted_(std::move(fd));
  } while (core::monotonic_now() < end);
}

}  // namespace bellstair::net
