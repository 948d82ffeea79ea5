// Stand-ins for the clients, the engines, the change log and the platform of a broker, as the protocol page
// describes them. All addresses are loopback addresses with ports that the system assigns. One thread serves
// one connection. Times are Unix time in seconds.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace review {
using nlohmann::json;

inline double now() {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}
inline void sleep_for(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}
inline void sleep_until(double at) { sleep_for(at - now()); }

// ---- the record of a run

class Record {
 public:
  void open(const std::string& path) {
    file_ = std::fopen(path.c_str(), "w");
    if (file_ == nullptr) throw std::runtime_error("cannot write " + path);
    begin_ = now();
  }
  // A line with the time since the start, in seconds.
  __attribute__((format(printf, 2, 3))) void line(const char* format, ...) {
    char text[1024];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%9.3f %s\n", now() - begin_, text);
    std::fflush(file_);
  }
  // Like line(), and printed too.
  void say(const std::string& text) {
    line("%s", text.c_str());
    std::printf("%s\n", text.c_str());
    std::fflush(stdout);
  }
  [[nodiscard]] double since_start(double at) const { return at - begin_; }

 private:
  std::FILE* file_ = nullptr;
  double begin_ = 0;
  std::mutex mutex_;
};
inline Record record;

// ---- sockets

class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection() { ::close(fd_); }
  // Null if the connection is refused.
  static std::shared_ptr<Connection> connect_to(int port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    if (::connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) {
      ::close(fd);
      return nullptr;
    }
    return std::make_shared<Connection>(fd);
  }
  bool send(std::string_view bytes) {
    while (!bytes.empty()) {
      const auto sent = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (sent <= 0) return false;
      bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
  }
  // Appends to `received`; false at the end of the connection.
  bool read_more() {
    char buffer[65536];
    const auto size = ::recv(fd_, buffer, sizeof buffer, 0);
    if (size <= 0) return false;
    received.append(buffer, static_cast<std::size_t>(size));
    return true;
  }
  bool read_line(std::string& line) {
    std::size_t end = 0;
    while ((end = received.find('\n')) == std::string::npos) {
      if (!read_more()) return false;
    }
    line = received.substr(0, end);
    received.erase(0, end + 1);
    return true;
  }
  void shut_down() { ::shutdown(fd_, SHUT_RDWR); }
  [[nodiscard]] int fd() const { return fd_; }
  void reset_on_close() {
    const linger discard{1, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
  }
  std::string received;

 private:
  int fd_;
};

// Listens on 127.0.0.1 and runs the handler for each connection in a thread.
class Server {
 public:
  using Handler = std::function<void(Connection&)>;
  explicit Server(Handler handler) : handler_(std::move(handler)) {
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof at;
    if (::bind(fd_, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || ::listen(fd_, 256) != 0 ||
        ::getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size) != 0)
      throw std::runtime_error("cannot listen on a loopback address");
    port_ = ntohs(at.sin_port);
    acceptor_ = std::thread([this] { accept_all(); });
  }
  ~Server() {
    stop();
    for (auto& thread : threads_) thread.join();
  }
  // Ends the listener and resets all connections, as when a process ends.
  void stop() {
    if (stopped_.exchange(true)) return;
    ::shutdown(fd_, SHUT_RDWR);
    acceptor_.join();
    ::close(fd_);
    const std::lock_guard lock(mutex_);
    for (auto* connection : open_) {
      connection->reset_on_close();
      connection->shut_down();
    }
  }
  [[nodiscard]] int port() const { return port_; }
  [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  void accept_all() {
    while (!stopped_) {
      const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (!stopped_) sleep_for(0.005);
        continue;
      }
      const std::lock_guard lock(mutex_);
      threads_.emplace_back([this, fd] {
        Connection connection(fd);
        {
          const std::lock_guard inner(mutex_);
          open_.insert(&connection);
        }
        if (!stopped_) handler_(connection);
        const std::lock_guard inner(mutex_);
        open_.erase(&connection);
      });
    }
  }
  Handler handler_;
  int fd_ = -1, port_ = 0;
  std::atomic<bool> stopped_ = false;
  std::mutex mutex_;
  std::set<Connection*> open_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

struct HttpRequest {
  std::string method, path, body;
  std::map<std::string, std::string> headers;  // names as sent
  double first_byte_at = 0;
};
inline bool read_http(Connection& connection, HttpRequest& request) {
  request = {};
  if (connection.received.empty() && !connection.read_more()) return false;
  request.first_byte_at = now();
  std::size_t end = 0;
  while ((end = connection.received.find("\r\n\r\n")) == std::string::npos) {
    if (!connection.read_more()) return false;
  }
  const auto head = connection.received.substr(0, end + 2);
  std::size_t at = head.find("\r\n");
  const auto first = head.substr(0, at);
  request.method = first.substr(0, first.find(' '));
  request.path = first.substr(request.method.size() + 1, first.rfind(' ') - request.method.size() - 1);
  for (at += 2; at < head.size();) {
    const auto next = head.find("\r\n", at);
    const auto text = head.substr(at, next - at);
    const auto colon = text.find(": ");
    if (colon != std::string::npos) request.headers[text.substr(0, colon)] = text.substr(colon + 2);
    at = next + 2;
  }
  const auto length = request.headers.find("Content-Length");
  const std::size_t size = length == request.headers.end() ? 0 : std::stoul(length->second);
  while (connection.received.size() < end + 4 + size) {
    if (!connection.read_more()) return false;
  }
  request.body = connection.received.substr(end + 4, size);
  connection.received.erase(0, end + 4 + size);
  return true;
}
inline std::string http_answer(int status, const std::string& headers, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " x\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ---- base64

inline std::string to_base64(const std::string& in) {
  static const char* kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < in.size(); i += 3) {
    unsigned v = static_cast<unsigned char>(in[i]) << 16;
    if (i + 1 < in.size()) v |= static_cast<unsigned char>(in[i + 1]) << 8;
    if (i + 2 < in.size()) v |= static_cast<unsigned char>(in[i + 2]);
    out += kDigits[v >> 18];
    out += kDigits[(v >> 12) & 63];
    out += i + 1 < in.size() ? kDigits[(v >> 6) & 63] : '=';
    out += i + 2 < in.size() ? kDigits[v & 63] : '=';
  }
  return out;
}
inline std::string from_base64(const std::string& in) {
  std::string out;
  unsigned v = 0;
  int bits = 0;
  for (const char c : in) {
    int d = -1;
    if (c >= 'A' && c <= 'Z') d = c - 'A';
    if (c >= 'a' && c <= 'z') d = c - 'a' + 26;
    if (c >= '0' && c <= '9') d = c - '0' + 52;
    if (c == '+') d = 62;
    if (c == '/') d = 63;
    if (d < 0) break;
    v = (v << 6) | static_cast<unsigned>(d);
    if ((bits += 6) >= 8) out += static_cast<char>((v >> (bits -= 8)) & 255);
  }
  return out;
}

// ---- statements and results

// A statement tells the engine stand-in its work, its threads and the number of rows of its result.
inline std::string statement(double work_ms, int threads, int rows) {
  char text[200];
  std::snprintf(text, sizeof text,
                "select day, dish, meals from orders_3.meals where work_ms = %.1f and threads = %d and rows = %d",
                work_ms, threads, rows);
  return text;
}
inline double number_after(const std::string& text, const std::string& word) {
  const auto at = text.find(word);
  return at == std::string::npos ? 0 : std::strtod(text.c_str() + at + word.size(), nullptr);
}
// The result that an engine makes for a request: rows of three columns that name the request.
inline std::vector<std::string> result_rows(const std::string& ticket, int rows) {
  std::vector<std::string> out;
  for (int i = 0; i < rows; ++i)
    out.push_back(std::to_string(i) + "\t" + ticket.substr(10) + "\t" + std::to_string(i % 7) + "\n");
  return out;
}
inline std::vector<std::string> result_pages(const std::string& ticket, int rows) {
  std::vector<std::string> pages(1);
  for (const auto& row : result_rows(ticket, rows)) {
    if (pages.back().size() + row.size() > 6000) pages.emplace_back();
    pages.back() += row;
  }
  return pages;
}
inline std::string whole_result(const std::string& ticket, int rows) {
  std::string out;
  for (const auto& row : result_rows(ticket, rows)) out += row;
  return out;
}

// ---- engines

// Runs all that it is sent at once; its queries share its cores. A query runs until it ends, is deleted or
// has gone 2 s without being asked for.
class Engine {
 public:
  struct Arrival {
    double at = 0;  // first byte
    std::string ticket, query_class;
  };
  // May change the bytes of a good answer (200) before they are sent.
  using Spoil = std::function<std::string(const std::string& head, const std::string& body)>;

  Engine(std::string id, double cores, double started_at = 0, double cold_from = 1, double ramp = 15)
      : id_(std::move(id)), cores_(cores), started_at_(started_at), cold_from_(cold_from), ramp_(ramp),
        server_([this](Connection& connection) { serve(connection); }),
        worker_([this] { work(); }) {}
  ~Engine() {
    end();
    worker_.join();
  }
  // The process ends: its connections are reset, its queries are gone.
  void end() {
    {
      const std::lock_guard lock(mutex_);
      ended_ = true;
      changed_.notify_all();
    }
    server_.stop();
  }
  void set_spoil(Spoil spoil) { spoil_ = std::move(spoil); }
  // Called with each statement when it has come whole, before it is answered.
  std::function<void(const Arrival&)> on_statement;

  [[nodiscard]] const std::string& id() const { return id_; }
  [[nodiscard]] std::string address() const { return server_.address(); }
  [[nodiscard]] double cores() const { return cores_; }
  [[nodiscard]] double started_at() const { return started_at_; }
  // The share of its capacity that it has.
  [[nodiscard]] double share(double at) const {
    if (started_at_ <= 0) return 1;
    return std::min(1.0, cold_from_ + (1 - cold_from_) * std::max(0.0, at - started_at_) / ramp_);
  }
  std::vector<Arrival> arrivals() {
    const std::lock_guard lock(mutex_);
    return arrivals_;
  }
  struct Running {
    std::string ticket, query_class;
  };
  std::vector<Running> running() {
    const std::lock_guard lock(mutex_);
    std::vector<Running> out;
    for (const auto& [ticket, query] : queries_)
      if (query.state == State::running) out.push_back({ticket, query.query_class});
    return out;
  }

 private:
  enum class State { running, done, gone };
  struct Query {
    State state = State::running;
    std::string query_class;
    double work_left = 0, work = 0;  // core-seconds
    int threads = 1, rows = 0, asking = 0;
    double asked_at = 0;  // when it was last asked for
    std::vector<std::string> pages;
  };

  void work() {
    double last = now();
    while (true) {
      sleep_for(0.004);
      const std::lock_guard lock(mutex_);
      if (ended_) return;
      const double at = now(), passed = at - last;
      last = at;
      double threads = 0;
      for (auto& [ticket, query] : queries_)
        if (query.state == State::running) threads += query.threads;
      const double speed = threads > 0 ? std::min(1.0, cores_ * share(at) / threads) : 1;
      if (at >= meter_at_ + 0.3) {
        meter_at_ = at;
        std::size_t running = 0;
        for (auto& [ticket, query] : queries_) running += query.state == State::running ? 1 : 0;
        char text[100];
        std::snprintf(text, sizeof text, "X-Meter: cpu_share:%.2f;busy_reqs:%zu;x0:%.2f\r\n",
                      std::min(1.0, threads / (cores_ * share(at))), running,
                      std::min(1.0, 0.01 * static_cast<double>(running)));
        meter_ = text;
      }
      for (auto it = queries_.begin(); it != queries_.end();) {
        auto& query = it->second;
        if (query.asking > 0) query.asked_at = at;
        if (query.state == State::running) {
          query.work_left -= passed * query.threads * speed;
          if (query.work_left <= 0) {
            query.state = State::done;
            query.pages = result_pages(it->first, query.rows);
            changed_.notify_all();
          } else if (at > query.asked_at + 2) {
            query.state = State::gone;
            changed_.notify_all();
          }
        }
        // A result is kept for a while after it was last asked for.
        it = query.state != State::running && query.asking == 0 && at > query.asked_at + 5 ? queries_.erase(it)
                                                                                            : std::next(it);
      }
    }
  }

  // The news of a query: its end, or after 250 ms nothing.
  std::string news(std::unique_lock<std::mutex>& lock, const std::string& ticket, bool& good, std::string& body) {
    good = false;
    auto found = queries_.find(ticket);
    if (found == queries_.end()) return "500";
    ++found->second.asking;
    found->second.asked_at = now();
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(250);
    changed_.wait_until(lock, until, [&] { return ended_ || found->second.state != State::running; });
    --found->second.asking;
    found->second.asked_at = now();
    auto& query = found->second;
    if (query.state == State::gone) return "500";
    if (query.state == State::running) return "202";
    good = true;
    body = query.pages[0];
    char text[160];
    std::snprintf(text, sizeof text, "Result-Pages: %zu\r\nQuery-Cost: %.1f\r\nQuery-Need: 64\r\n",
                  query.pages.size(), query.work * 1000);
    return text;
  }

  void serve(Connection& connection) {
    HttpRequest request;
    while (read_http(connection, request)) {
      std::unique_lock lock(mutex_);
      if (ended_) return;
      std::string headers, body;
      bool good = false;
      if (request.method == "POST" && request.path == "/v1/store") {
        const auto ticket = request.headers["X-Ticket"];
        Arrival arrival{request.first_byte_at, ticket, request.headers["X-Queue"]};
        arrivals_.push_back(arrival);
        if (!queries_.contains(ticket)) {
          auto& query = queries_[ticket];
          query.query_class = arrival.query_class;
          query.work = query.work_left = number_after(request.body, "work_ms = ") / 1000;
          query.threads = std::max(1, static_cast<int>(number_after(request.body, "threads = ")));
          query.rows = static_cast<int>(number_after(request.body, "rows = "));
        }
        if (on_statement) {
          lock.unlock();
          on_statement(arrival);
          lock.lock();
          if (ended_) return;
        }
        headers = news(lock, ticket, good, body);
      } else if (request.path.rfind("/v1/store/", 0) == 0) {
        auto rest = request.path.substr(10);
        const auto slash = rest.find('/');
        const auto ticket = rest.substr(0, slash);
        if (request.method == "DELETE") {
          const auto found = queries_.find(ticket);
          if (found != queries_.end()) found->second.state = State::gone;
          changed_.notify_all();
          headers = "204";
        } else {
          const auto page = slash == std::string::npos ? 0UL : std::stoul(rest.substr(slash + 1));
          const auto found = queries_.find(ticket);
          if (page == 0) {
            headers = news(lock, ticket, good, body);
          } else if (found == queries_.end() || found->second.state != State::done ||
                     page >= found->second.pages.size()) {
            headers = "500";
          } else {
            found->second.asked_at = now();
            good = true;
            body = found->second.pages[page];
            headers = "Result-Page: " + std::to_string(page) + "\r\n";
          }
        }
      } else {
        headers = "500";
      }
      const auto meter = meter_;
      if (ended_) return;
      lock.unlock();
      std::string bytes;
      if (headers == "204") {
        bytes = "HTTP/1.1 204 x\r\n\r\n";
      } else if (good) {
        bytes = spoil_ ? spoil_(headers + meter, body) : http_answer(200, headers + meter, body);
      } else {
        bytes = http_answer(std::stoi(headers), meter, "");
      }
      if (!connection.send(bytes)) return;
    }
  }

  std::string id_;
  double cores_, started_at_, cold_from_, ramp_;
  Spoil spoil_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Query> queries_;
  std::vector<Arrival> arrivals_;
  std::string meter_ = "X-Meter: cpu_share:0.00;busy_reqs:0;x0:0.00\r\n";
  double meter_at_ = 0;
  bool ended_ = false;
  Server server_;
  std::thread worker_;
};

// ---- the change log

class ChangeLog {
 public:
  ChangeLog() : server_([this](Connection& connection) { serve(connection); }) {}
  ~ChangeLog() { stop(); }
  void stop() {
    {
      const std::lock_guard lock(mutex_);
      stopped_ = true;
      changed_.notify_all();
    }
    server_.stop();
  }
  static json entry(const Engine& engine, const char* state, const char* kind = "big-12") {
    return {{"id", engine.id()}, {"addr", engine.address()}, {"zone", "room-a"}, {"kind", kind},
            {"cell", 0},         {"state", state},           {"weight", 1},
            {"started_ms", static_cast<std::int64_t>(engine.started_at() * 1000)}};
  }
  // Adds an event. Returns when it was told.
  double tell(json servers, bool full = false) {
    const std::lock_guard lock(mutex_);
    events_.push_back({{"seq", events_.size() + 1},
                       {"fleet", {{"version", events_.size() + 1}, {"full", full}, {"servers", servers}}}});
    changed_.notify_all();
    record.line("change log: event %zu %s", events_.size(), servers.dump().substr(0, 300).c_str());
    return now();
  }
  json known() {
    const std::lock_guard lock(mutex_);
    return {{"seq", events_.size()}, {"results", events_}};
  }
  // From now on each answer comes so much later than it could.
  void set_delay(double seconds) { delay_ = seconds; }
  [[nodiscard]] std::string address() const { return server_.address(); }

 private:
  void serve(Connection& connection) {
    HttpRequest request;
    while (read_http(connection, request)) {
      const auto since = static_cast<std::size_t>(number_after(request.path, "since="));
      const double wait = std::min(5.0, number_after(request.path, "timeout=") / 1000);
      json answer;
      {
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, std::chrono::duration<double>(wait),
                          [&] { return stopped_ || events_.size() > since; });
      }
      const double delay = delay_;
      if (delay > 0) {
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, std::chrono::duration<double>(delay), [&] { return stopped_; });
      }
      {
        const std::lock_guard lock(mutex_);
        if (stopped_) return;
        answer = {{"seq", events_.size()}, {"results", json::array()}};
        for (std::size_t i = since; i < events_.size(); ++i) answer["results"].push_back(events_[i]);
      }
      const bool sent = connection.send(http_answer(200, "", answer.dump()));
      if (delay > 0)
        record.line("change log: asked since=%zu timeout=%.0f ms, answered %.2f s late with %zu events%s", since,
                    wait * 1000, delay, answer["results"].size(), sent ? "" : " (connection had ended)");
      if (!sent) return;
    }
  }
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<json> events_;
  std::atomic<double> delay_ = 0;
  bool stopped_ = false;
  Server server_;
};

// ---- the platform: configuration, start and end of a broker

// The settings of a small deployment: those of the example in WIRE, with the figures of the brief.
inline json settings(unsigned brokers, unsigned me) {
  json out = json::parse(R"({"az": 0,
 "balancers": 3,
 "ceilings": {"cancel": true, "cpu-us-per-request": 0.0, "cpu-us-per-s": 100000, "dial-timeout": 250000000, "idle-close": 15000000000, "max-attempts": 6, "max-retry-after": 1000000000, "may-tell": false, "most-held": 20000, "probing": false, "retry-after": true, "second-copies": false, "streams-per-conn": 100},
 "classes": [{"aim": 1000000000, "aim-stretch": 1.5, "credit": 1.0, "give-up": 5000000000, "group": "all", "late-share": 0.0, "name": "lookup", "semantics": "safe", "stream": false, "window": 5000000000}, {"aim": 3000000000, "aim-stretch": 2.5, "credit": 10.0, "give-up": 20000000000, "group": "all", "late-share": 0.3, "name": "report", "semantics": "safe", "stream": false, "window": 5000000000}, {"aim": 4000000000, "aim-stretch": 2.5, "credit": 6.0, "give-up": 25000000000, "group": "all", "in-order": true, "late-share": 0.5, "name": "order-load", "semantics": "unsafe", "stream": false, "window": 5000000000}],
 "clients": {"marks-retry": false},
 "family-info": {"class-waits": [false, false, false], "cpu-of-kind": [12, 8], "grants": true, "loads": [false, false, true], "max-grant-share": 0.4, "notes": "ok: milliseconds of work x 4096, plus memory needed in units of 4 MB", "out-of-memory": "overcommit", "progress-pace": 0, "ram-of-kind-mb": [24576.0, 16384.0], "report-x0": "share of memory granted", "report-x1": "share of disks busy", "takes-priority": false, "tells-cost": true, "width-by-class": [1, 4, 2]},
 "goal": {"whole": 0.45, "worst-class": 0.2, "worst-tenant": 0.1, "worst-window": 0.25},
 "kinds": ["big-12", "std-8"],
 "me": 0,
 "membership-mode": "pushed",
 "over-share-worth": 0.1,
 "prices": {"connection": 0.0, "cross-zone": 0.02, "handshake": 0.0, "late-fail": 0.05, "membership-mode": 0.0, "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.0, "waste": 0.043},
 "report": {"fields": ["cpu_share", "busy_reqs", "x0"], "how": "piggyback"},
 "safety": {"ask-within": 10000000000, "cold-from": 0.34, "drain-grace": 250000000, "fall": 2000000000, "free-resends": 2.0, "further-ratio": 0.1, "grace-to-answer": 20000000, "ramp-time": 15000000000, "resend-span": 10000000000, "tip-multiple": 2.5, "turn-gap": 0},
 "step": 5000000,
 "tenants": [{"name": "site-one", "portion": 0.37, "quota-rps": 49.0}, {"name": "site-two", "portion": 0.32, "quota-rps": 42.0}, {"name": "site-three", "portion": 0.31, "quota-rps": 41.0}],
 "tier": 0,
 "tiers": ["query-fleet"],
 "value-by": "request",
 "weights": "nominal",
 "workload": "queries",
 "zones": ["room-a", "room-b"]})");
  out["balancers"] = brokers;
  out["me"] = me;
  return out;
}

inline int free_port() {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof at;
  ::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at);
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  ::close(fd);
  return ntohs(at.sin_port);
}

// A broker process, started by the deploy file's `run` from the project's root.
class Broker {
 public:
  Broker(const std::string& root, const std::string& folder, const std::string& name, ChangeLog& changes,
         unsigned brokers, unsigned me, std::uint64_t seed)
      : name_(name), port_(free_port()), log_(folder + "/" + name + ".log") {
    char seed_text[17];
    std::snprintf(seed_text, sizeof seed_text, "%016llx", static_cast<unsigned long long>(seed));
    const std::string listen = "127.0.0.1:" + std::to_string(port_);
    const json config = {{"name", name},
                         {"listen", listen},
                         {"seed", seed_text},
                         {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 512}}},
                         {"changelog", changes.address()},
                         {"known", changes.known()},
                         {"settings", settings(brokers, me)}};
    const auto file = folder + "/" + name + ".json", temporary = folder + "/" + name + ".tmp";
    std::ofstream(file) << config.dump();
    ::mkdir(temporary.c_str(), 0700);
    const auto run = deploy_command(root);
    record.line("platform: starts %s at %s: %s", name.c_str(), listen.c_str(), run.c_str());
    pid_ = ::fork();
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log = ::open(log_.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
      ::dup2(log, 1);
      ::dup2(log, 2);
      ::setenv("BALANCER_NAME", name.c_str(), 1);
      ::setenv("BALANCER_LISTEN", listen.c_str(), 1);
      ::setenv("BALANCER_CONFIG", file.c_str(), 1);
      ::setenv("TMPDIR", temporary.c_str(), 1);
      if (::chdir(root.c_str()) != 0) ::_exit(127);
      ::execl("/bin/sh", "sh", "-c", run.c_str(), nullptr);
      ::_exit(127);
    }
  }
  ~Broker() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
  }
  // Waits until it answers `health` with "green": true.
  void wait_until_ready() {
    const double until = now() + 30;
    while (now() < until) {
      if (auto connection = Connection::connect_to(port_)) {
        std::string line;
        if (connection->send("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"health\"}\n") &&
            connection->read_line(line) && line.find("\"green\":true") != std::string::npos) {
          record.line("platform: %s is ready", name_.c_str());
          return;
        }
      }
      sleep_for(0.05);
    }
    throw std::runtime_error(name_ + " is not ready within 30 s");
  }
  // Whether it has ended by itself.
  bool has_ended() {
    if (pid_ <= 0) return true;
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) != pid_) return false;
    pid_ = -1;
    record.line("platform: %s has ended, status %d", name_.c_str(), status);
    return true;
  }
  [[nodiscard]] int port() const { return port_; }
  [[nodiscard]] const std::string& name() const { return name_; }
  // Copies its log into the record.
  void copy_log(std::size_t max_lines = 400) {
    std::ifstream in(log_);
    std::size_t count = 0;
    for (std::string text; count < max_lines && std::getline(in, text); ++count)
      record.line("log of %s: %s", name_.c_str(), text.substr(0, 400).c_str());
  }

 private:
  static std::string deploy_command(const std::string& root) {
    std::ifstream in(root + "/deploy/balancer.toml");
    for (std::string text; std::getline(in, text);) {
      if (text.rfind("run = \"", 0) == 0) return text.substr(7, text.find('"', 7) - 7);
    }
    throw std::runtime_error("no 'run' in the deploy file");
  }
  std::string name_;
  int port_;
  std::string log_;
  pid_t pid_ = -1;
};

// ---- clients

// One client process with one broker. It opens connections as it needs them, with up to 32 open requests on
// each, and closes those that are idle for 4 s.
class Client {
 public:
  struct Request {
    std::string ticket, query_class;
    int rows = 0;
    double sent_at = 0, limit = 0;
    double answered_at = 0;  // 0: no answer yet
    std::string kind;        // "served", "refused" or "failed"
    std::string result;
    int answers = 0;
  };
  explicit Client(int port, std::uint64_t seed) : port_(port), random_(seed) {}
  ~Client() { close_all(); }
  void close_all() {
    const std::lock_guard lock(mutex_);
    for (auto& link : links_) link->connection->shut_down();
    for (auto& link : links_)
      if (link->reader.joinable()) {
        mutex_.unlock();
        link->reader.join();
        mutex_.lock();
      }
  }
  // Sends a request. `team` is a tenant, `key` 0 for none. Returns its ticket; empty if there is no connection.
  std::string send(const std::string& query_class, const std::string& text, int rows, double limit_ms,
                   const std::string& team, double work_ms, double memory_mb, std::uint64_t key = 0) {
    std::unique_lock lock(mutex_);
    Link* link = nullptr;
    for (auto& candidate : links_)
      if (candidate->open && candidate->open_requests < 16) link = candidate.get();
    if (link == nullptr) {
      auto connection = Connection::connect_to(port_);
      if (!connection) return {};
      links_.push_back(std::make_unique<Link>());
      link = links_.back().get();
      link->connection = connection;
      link->reader = std::thread([this, link] { read(*link); });
    }
    Request request;
    request.ticket = hex(random_());
    request.query_class = query_class;
    request.rows = rows;
    request.limit = limit_ms / 1000;
    const auto id = ++link->last_id;
    json params{{"txn", request.ticket}, {"limit", limit_ms}, {"team", team},
                {"cpu", work_ms},        {"ram", memory_mb},  {"data", to_base64(text)}};
    if (key != 0) params["item"] = hex(key);
    link->tickets[id] = request.ticket;
    ++link->open_requests;
    request.sent_at = now();
    const auto ticket = request.ticket;
    requests_[ticket] = std::move(request);
    order_.push_back(ticket);
    link->connection->send(
        json{{"jsonrpc", "2.0"}, {"id", id}, {"method", query_class}, {"params", params}}.dump() + "\n");
    return ticket;
  }
  // All requests so far, in the order in which they were sent.
  std::vector<Request> requests() {
    const std::lock_guard lock(mutex_);
    std::vector<Request> out;
    for (const auto& ticket : order_) out.push_back(requests_[ticket]);
    return out;
  }
  std::size_t unanswered() {
    const std::lock_guard lock(mutex_);
    std::size_t count = 0;
    for (const auto& [ticket, request] : requests_) count += request.answered_at == 0 ? 1 : 0;
    return count;
  }
  static std::string hex(std::uint64_t value) {
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
    return text;
  }

 private:
  struct Link {
    std::shared_ptr<Connection> connection;
    std::thread reader;
    bool open = true;
    unsigned last_id = 0, open_requests = 0;
    std::map<unsigned, std::string> tickets;
  };
  void read(Link& link) {
    std::string line;
    while (link.connection->read_line(line)) {
      const auto answer = json::parse(line, nullptr, false);
      const std::lock_guard lock(mutex_);
      if (!answer.is_object() || !answer.contains("id") || !answer["id"].is_number_unsigned()) {
        record.line("client: a line without an id: %s", line.substr(0, 200).c_str());
        continue;
      }
      const auto found = link.tickets.find(answer["id"].get<unsigned>());
      if (found == link.tickets.end()) continue;
      auto& request = requests_[found->second];
      if (++request.answers > 1) continue;
      --link.open_requests;
      request.answered_at = now();
      if (answer.contains("result")) {
        request.kind = "served";
        request.result = from_base64(answer["result"].value("data", ""));
      } else {
        request.kind = answer["error"].value("code", 0) == -32066 ? "refused" : "failed";
      }
    }
    const std::lock_guard lock(mutex_);
    link.open = false;
  }
  int port_;
  std::mt19937_64 random_;
  std::mutex mutex_;
  std::vector<std::unique_ptr<Link>> links_;
  std::map<std::string, Request> requests_;
  std::vector<std::string> order_;
};

// ---- a case

// A private folder that is removed at the end.
class Folder {
 public:
  Folder() {
    const char* base = std::getenv("TMPDIR");
    path_ = std::string(base != nullptr && *base != 0 ? base : "/tmp") + "/review-XXXXXX";
    if (::mkdtemp(path_.data()) == nullptr) throw std::runtime_error("cannot make a folder");
  }
  ~Folder() { ::system(("rm -rf '" + path_ + "'").c_str()); }
  [[nodiscard]] const std::string& path() const { return path_; }

 private:
  std::string path_;
};

inline bool with_trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// Runs the case: argv holds the project's root and the record's path. The body returns 1 if the rule was
// broken and 0 if it held.
inline int run_case(int argc, char** argv, const std::function<int(const std::string&, const std::string&)>& body) {
  if (argc != 3) {
    std::fprintf(stderr, "usage: CASE ROOT RECORD\n");
    return 2;
  }
  ::signal(SIGPIPE, SIG_IGN);
  ::signal(SIGALRM, [](int) { ::_exit(2); });  // its children end with it
  ::alarm(117);
  int status = 2;
  try {
    record.open(argv[2]);
    const Folder folder;
    status = body(argv[1], folder.path());
  } catch (const std::exception& error) {
    std::fprintf(stderr, "the case could not run: %s\n", error.what());
  }
  std::printf("exit %d\n", status);
  return status;
}

}  // namespace review
