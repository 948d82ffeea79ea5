// Datagrams between brokers.
#pragma once

#include <ev++.h>

#include <vector>

#include "config/config.hpp"
#include "core/events.hpp"
#include "net/driver.hpp"
#include "net/socket.hpp"

namespace bellstair::platform {

// Sends and receives UDP datagrams between the brokers of the configuration. Delivery is not guaranteed.
// Datagrams from addresses that are not in the configuration are ignored.
class Peers {
 public:
  // If the address can't be bound, the error is logged and nothing is sent or received.
  Peers(ev::loop_ref loop, const config::Config& config, net::EventSink emit);
  // Sends to one peer, or to all of them by the address `peers_all` of the configuration.
  void run(const core::SendToPeers& effect);

 private:
  void on_io(ev::io& watcher, int events);
  ev::io io_;
  net::Fd fd_;
  std::vector<sockaddr_in> peers_;
  std::optional<sockaddr_in> all_peers_;
  std::size_t own_index_;
  net::EventSink emit_;
};

}  // namespace bellstair::platform
