#include "platform/peers.hpp"

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstdio>
#include <cstring>

namespace bellstair::platform {
namespace {
// Limit set by the platform: a single longer datagram invalidates everything.
constexpr std::size_t kMaxDatagramBytes = 256;
}  // namespace

Peers::Peers(ev::loop_ref loop, const config::Config& config, net::EventSink emit)
    : io_(loop),
      all_peers_(net::parse_address(config.peers_all)),
      own_index_(config.settings.gateway_index),
      emit_(std::move(emit)) {
  for (const auto& peer : config.peers) peers_.push_back(net::parse_address(peer).value_or(sockaddr_in{}));
  const auto at = net::parse_address(config.peer_listen);
  if (!at) return;
  fd_ = net::bind_udp(*at);
  if (!fd_) {
    std::fprintf(stderr, "bellstair: peer_listen: %s: %s\n", config.peer_listen.c_str(),
                 std::strerror(errno));
    return;
  }
  io_.set<Peers, &Peers::on_io>(this);
  io_.start(fd_.get(), ev::READ);
}

void Peers::run(const core::SendToPeers& effect) {
  if (!fd_ || effect.bytes.size() > kMaxDatagramBytes) return;
  const auto send = [&](const sockaddr_in& address) {
    ::sendto(fd_.get(), effect.bytes.data(), effect.bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL,
             reinterpret_cast<const sockaddr*>(&address),
             sizeof address);  // a lost datagram is not sent again
  };
  if (!effect.to) {
    if (all_peers_) send(*all_peers_);
  } else if (*effect.to < peers_.size() && *effect.to != own_index_) {
    send(peers_[*effect.to]);
  }
}

void Peers::on_io(ev::io&, int) {
  std::array<char, kMaxDatagramBytes + 1> buffer{};
  for (int i = 0; i < 64; ++i) {
    sockaddr_in from{};
    socklen_t size = sizeof from;
    const auto received = ::recvfrom(fd_.get(), buffer.data(), buffer.size(), MSG_DONTWAIT,
                                     reinterpret_cast<sockaddr*>(&from), &size);
    if (received < 0) return;
    if (static_cast<std::size_t>(received) > kMaxDatagramBytes) continue;
    for (std::size_t index = 0; index < peers_.size(); ++index) {
      if (index == own_index_ || peers_[index].sin_addr.s_addr != from.sin_addr.s_addr ||
          peers_[index].sin_port != from.sin_port)
        continue;
      emit_(core::PeerMessageReceived{static_cast<std::uint32_t>(index),
                                      {buffer.data(), static_cast<std::size_t>(received)}});
      break;
    }
  }
}

}  // namespace bellstair::platform
