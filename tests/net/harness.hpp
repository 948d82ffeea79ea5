// Test harness: runs the real program as a child process, with emulated clients, engines and a change log.
// Everything listens on loopback addresses, at ports that the system assigns. Tests wait for events instead
// of sleeping; a wait that exceeds kWaitTimeout throws std::runtime_error and so fails its test.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "net/socket.hpp"
#include "platform/base64.hpp"

namespace bellstair::test {

using namespace std::chrono_literals;
using nlohmann::json;
constexpr auto kWaitTimeout = 20s;

// A blocking TCP socket with a receive buffer. Waits for at most kWaitTimeout.
class Socket {
 public:
  explicit Socket(int fd) : fd_(fd) {
    const timeval timeout{kWaitTimeout / 1s, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  }
  // Throws std::runtime_error if the connection fails.
  static Socket connect_to(const std::string& address) {
    const auto endpoint = net::parse_address(address).value();
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    if (::connect(socket.fd_.get(), reinterpret_cast<const sockaddr*>(&endpoint), sizeof endpoint) != 0)
      throw std::runtime_error("cannot connect to " + address);
    return socket;
  }
  bool send(const std::string& bytes) {
    return ::send(fd_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size());
  }
  // Appends the next bytes to `received`. Returns false once the connection has ended or failed; throws
  // std::runtime_error on time-out.
  bool read_more() {
    char buffer[16384];
    const auto size = ::recv(fd_.get(), buffer, sizeof buffer, 0);
    if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
      throw std::runtime_error("timed out waiting for data");
    if (size <= 0) return false;
    received.append(buffer, static_cast<std::size_t>(size));
    return true;
  }
  // Takes the next line, without its line feed. Throws std::runtime_error if the connection ends before it.
  std::string read_line() {
    std::size_t end = 0;
    while ((end = received.find('\n')) == std::string::npos) {
      if (!read_more()) throw std::runtime_error("connection closed by peer");
    }
    auto line = received.substr(0, end);
    received.erase(0, end + 1);
    return line;
  }
  // Whether bytes have arrived that read_more() has not taken yet.
  bool has_unread_bytes() {
    char byte = 0;
    return ::recv(fd_.get(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
  }
  // Whether the connection has a pending error, such as a reset by its peer.
  bool is_reset() {
    int error = 0;
    socklen_t size = sizeof error;
    return ::getsockopt(fd_.get(), SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0;
  }
  // Discards everything up to the end of the connection, then returns true.
  bool read_to_end() {
    while (read_more()) received.clear();
    return true;
  }
  // Closes the connection with a TCP reset, as happens when a process is killed.
  void reset() {
    const linger discard_unsent{1, 0};
    ::setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &discard_unsent, sizeof discard_unsent);
    fd_.reset();
  }
  [[nodiscard]] int fd() const { return fd_.get(); }
  std::string received;  // and not yet consumed

 private:
  net::Fd fd_;
};

// A TCP server that runs a handler for each connection, each in a thread of its own. An exception from the
// handler ends the connection.
class Server {
 public:
  using Handler = std::function<void(Socket&)>;
  // `address`: where it listens, for example where an earlier server did; by default on a free port.
  explicit Server(Handler handler, const std::string& address = "127.0.0.1:0")
      : handler_(std::move(handler)), fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const auto endpoint = net::parse_address(address).value();
    const int enabled = 1;
    ::setsockopt(fd_.get(), SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    if (::bind(fd_.get(), reinterpret_cast<const sockaddr*>(&endpoint), sizeof endpoint) != 0 ||
        ::listen(fd_.get(), 64) != 0)
      throw std::runtime_error("cannot listen");
    address_ = net::local_address(fd_.get());
    acceptor_ = std::thread([this] { accept_connections(); });
  }
  ~Server() { stop(); }
  // Closes the listener and all connections, and joins the threads. Later connections are refused.
  void stop() {
    if (!acceptor_.joinable()) return;
    stopped_ = true;
    ::shutdown(fd_.get(), SHUT_RDWR);
    acceptor_.join();
    fd_.reset();
    {
      const std::lock_guard lock(mutex_);
      for (const int fd : open_fds_) ::shutdown(fd, SHUT_RDWR);
    }
    for (auto& thread : threads_) thread.join();
  }
  [[nodiscard]] const std::string& address() const { return address_; }

 private:
  void accept_connections() {
    while (!stopped_) {
      const int fd = ::accept4(fd_.get(), nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      threads_.emplace_back([this, fd] {
        Socket socket(fd);
        {
          const std::lock_guard lock(mutex_);
          open_fds_.insert(fd);
        }
        try {
          if (!stopped_) handler_(socket);
        } catch (const std::exception&) {
          // The peer closed the connection.
        }
        const std::lock_guard lock(mutex_);
        open_fds_.erase(fd);
      });
    }
  }
  Handler handler_;
  net::Fd fd_;
  std::string address_;
  std::atomic<bool> stopped_ = false;
  std::mutex mutex_;
  std::set<int> open_fds_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

struct HttpRequest {
  std::string method, path, body;
  std::map<std::string, std::string> headers;
};
// Reads one request. Throws std::runtime_error if the connection ends before it is complete.
inline HttpRequest read_http_request(Socket& socket) {
  std::size_t end = 0;
  while ((end = socket.received.find("\r\n\r\n")) == std::string::npos) {
    if (!socket.read_more()) throw std::runtime_error("connection closed by peer");
  }
  HttpRequest request;
  std::istringstream head(socket.received.substr(0, end + 2));
  std::string line;
  std::getline(head, line);
  request.method = line.substr(0, line.find(' '));
  request.path = line.substr(request.method.size() + 1, line.rfind(' ') - request.method.size() - 1);
  while (std::getline(head, line) && line != "\r") {
    const auto colon = line.find(": ");
    if (colon != std::string::npos)
      request.headers[line.substr(0, colon)] = line.substr(colon + 2, line.size() - colon - 3);
  }
  const auto size =
      request.headers.contains("Content-Length") ? std::stoul(request.headers["Content-Length"]) : 0;
  while (socket.received.size() < end + 4 + size) {
    if (!socket.read_more()) throw std::runtime_error("connection closed by peer");
  }
  request.body = socket.received.substr(end + 4, size);
  socket.received.erase(0, end + 4 + size);
  return request;
}
// A complete response. `headers` are whole lines, each with its CR LF.
inline std::string http_response(int status, const std::string& body = {}, const std::string& headers = {}) {
  return "HTTP/1.1 " + std::to_string(status) + " x\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
// An engine's response to a finished query: its first page of rows, of `pages` in total.
inline std::string rows_response(const std::string& body, int pages = 1) {
  return http_response(200, body,
                       "Result-Pages: " + std::to_string(pages) + "\r\nQuery-Cost: 5\r\nQuery-Need: 8\r\n");
}

// A thread-safe list of observed items that a test can wait on.
template <class T>
class Recorder {
 public:
  void add(T item) {
    const std::lock_guard lock(mutex_);
    items_.push_back(std::move(item));
    changed_.notify_all();
  }
  // Blocks until an item matches and returns the first one. Throws std::runtime_error on time-out.
  T wait_for(const std::function<bool(const T&)>& matches) {
    std::unique_lock lock(mutex_);
    std::optional<T> found;
    changed_.wait_for(lock, kWaitTimeout, [&] {
      for (const auto& item : items_) {
        if (!found && matches(item)) found = item;
      }
      return found.has_value();
    });
    if (!found) throw std::runtime_error("timed out waiting; recorded so far: " + describe_locked());
    return *found;
  }
  // The number of items that match so far.
  std::size_t count(const std::function<bool(const T&)>& matches) {
    const std::lock_guard lock(mutex_);
    return static_cast<std::size_t>(std::count_if(items_.begin(), items_.end(), matches));
  }

  // All items, one a line, or their number if they are not strings.
  std::string describe() {
    const std::lock_guard lock(mutex_);
    return describe_locked();
  }

 private:
  [[nodiscard]] std::string describe_locked() const {
    if constexpr (std::is_same_v<T, std::string>) {
      std::string text;
      for (const auto& item : items_) text += "\n  " + item;
      return text;
    }
    return std::to_string(items_.size()) + " items";
  }
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<T> items_;
};

// An emulated HTTP engine. The handler returns the bytes to send in response to a request, or nullopt to
// reset the connection. Load probes are answered without it.
class HttpEngine {
 public:
  using Handler = std::function<std::optional<std::string>(const HttpRequest&)>;
  explicit HttpEngine(Handler handler)
      : server([this, handler = std::move(handler)](Socket& socket) {
          while (true) {
            const auto request = read_http_request(socket);
            requests.add(request);
            if (request.path.rfind("/-/", 0) == 0) {
              socket.send(http_response(200, {}, "X-Meter: pending:0;x1:0.1;x0:0.1\r\n"));
              continue;
            }
            const auto response = handler(request);
            if (!response) return socket.reset();
            socket.send(*response);
          }
        }) {}
  // The number of statements received.
  std::size_t post_count() {
    return requests.count([](const HttpRequest& request) { return request.method == "POST"; });
  }
  Recorder<HttpRequest> requests;
  Server server;
};

// An emulated change log, which answers long polls with the membership events that a test pushes.
class ChangeLog {
 public:
  ChangeLog() : server_([this](Socket& socket) { serve(socket); }) {}
  // Appends an event. `full`: the servers replace the whole membership.
  void push(json servers, bool full = false) {
    const std::lock_guard lock(mutex_);
    events_.push_back(
        {{"seq", events_.size() + 1}, {"fleet", {{"full", full}, {"servers", std::move(servers)}}}});
    changed_.notify_all();
  }
  // All events so far, in the form of a response.
  json snapshot() {
    const std::lock_guard lock(mutex_);
    return {{"seq", events_.size()}, {"results", events_}};
  }
  [[nodiscard]] const std::string& address() const { return server_.address(); }
  // Waits until the broker has applied all events: it polls for later ones only after that.
  void wait_until_processed() {
    const auto next_poll = "/changes?since=" + std::to_string(snapshot()["seq"].get<int>()) + "&timeout=1000";
    requested_paths_.wait_for([&](const std::string& path) { return path == next_poll; });
  }

 private:
  void serve(Socket& socket) {
    while (true) {
      const auto request = read_http_request(socket);
      requested_paths_.add(request.path);
      const auto since = std::stoul(request.path.substr(request.path.find('=') + 1));
      const auto timeout_ms = std::stoul(request.path.substr(request.path.rfind('=') + 1));
      json response;
      {
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock,
                          std::min<std::chrono::milliseconds>(std::chrono::milliseconds(timeout_ms), 1s),
                          [&] { return events_.size() > since; });
        response["seq"] = events_.size();
        response["results"] = json::array();
        for (std::size_t i = since; i < events_.size(); ++i) response["results"].push_back(events_[i]);
      }
      socket.send(http_response(200, response.dump()));
    }
  }
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<json> events_;
  Recorder<std::string> requested_paths_;
  Server server_;
};

// Waits until some process has a connection attempt to `address` that is not established, as happens when the
// listener's backlog is full. Throws std::runtime_error on time-out.
inline void wait_for_pending_connection(const std::string& address) {
  const auto port = net::parse_address(address).value().sin_port;
  char remote_syn_sent[32];
  std::snprintf(remote_syn_sent, sizeof remote_syn_sent, ":%04X 02 ", ntohs(port));  // 02: the state SYN_SENT
  const auto deadline = std::chrono::steady_clock::now() + kWaitTimeout;
  while (std::chrono::steady_clock::now() < deadline) {
    std::ifstream table("/proc/net/tcp");
    for (std::string line; std::getline(table, line);) {
      if (line.find(remote_syn_sent) != std::string::npos) return;
    }
    std::this_thread::yield();
  }
  throw std::runtime_error("timed out waiting for a connection attempt");
}

// A listener on which no connection is established before accept_pending(): its backlog is full, so the
// kernel drops connection attempts and clients retransmit them.
class FullBacklogListener {
 public:
  FullBacklogListener() : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0)) {
    sockaddr_in endpoint{};
    endpoint.sin_family = AF_INET;
    endpoint.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(fd_.get(), reinterpret_cast<sockaddr*>(&endpoint), sizeof endpoint) != 0 ||
        ::listen(fd_.get(), 0) != 0)
      throw std::runtime_error("cannot listen");
    address_ = net::local_address(fd_.get());
    backlog_filler_.emplace(Socket::connect_to(address_));
  }
  [[nodiscard]] const std::string& address() const { return address_; }
  // Waits for a connection attempt.
  void wait_until_connecting() const { wait_for_pending_connection(address_); }
  // Empties the backlog and returns the first connection after the filler's, which is established when the
  // client's kernel retransmits its attempt. Throws std::runtime_error on time-out.
  Socket accept_pending() {
    const auto deadline = std::chrono::steady_clock::now() + kWaitTimeout;
    for (int accepted = 0; std::chrono::steady_clock::now() < deadline;) {
      const int fd = ::accept4(fd_.get(), nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        std::this_thread::yield();
        continue;
      }
      Socket socket(fd);
      if (++accepted == 2) return socket;  // the first is backlog_filler_
    }
    throw std::runtime_error("timed out waiting for a connection");
  }

 private:
  net::Fd fd_;
  std::string address_;
  std::optional<Socket> backlog_filler_;
};

// A server of a membership event.
inline json server_entry(const std::string& id, const std::string& address,
                         const char* state = "in_service") {
  return {{"id", id},  {"addr", address}, {"zone", "dc1"}, {"kind", "std-8"},
          {"cell", 0}, {"state", state},  {"weight", 1},   {"started_ms", 0}};
}

// Settings with three classes: "lookup" (safe), "load" (keyed, with per-key ordering) and "once" (unsafe).
inline json settings() {
  const auto cls = [](const char* name, const char* semantics, std::int64_t deadline_ms) {
    return json{{"name", name},       {"aim", 1'000'000'000},
                {"aim-stretch", 2.0}, {"give-up", deadline_ms * 1'000'000},
                {"credit", 1.0},      {"semantics", semantics},
                {"group", "all"},     {"window", 15'000'000'000},
                {"late-share", 0.5},  {"in-order", std::string(name) == "load"}};
  };
  return {
      {"balancers", 1},
      {"me", 0},
      {"step", 5'000'000},
      {"classes", {cls("lookup", "safe", 20000), cls("load", "keyed", 25000), cls("once", "unsafe", 25000)}},
      {"kinds", {"std-8"}},
      {"zones", {"dc1"}},
      {"tenants", {{{"name", "acme"}, {"portion", 1.0}, {"quota-rps", 100.0}}}},
      {"ceilings",
       {{"cancel", true},
        {"dial-timeout", 5'000'000'000},
        {"idle-close", 30'000'000'000},
        {"max-attempts", 4},
        {"max-retry-after", 500'000'000},
        {"probing", false},
        {"retry-after", true}}},
      {"safety", {{"drain-grace", 500'000'000}, {"grace-to-answer", 20'000'000}}},
      {"family-info",
       {{"cpu-of-kind", {8}}, {"grants", true}, {"takes-priority", true}, {"tells-cost", true}}},
      {"report", {{"how", "pull"}, {"fields", {"pending", "x1", "x0"}}}}};
}

// Writes `text` to a new file and returns its path; the caller removes it.
inline std::string write_temporary_file(const std::string& text) {
  std::string path =
      (std::getenv("TMPDIR") != nullptr ? std::getenv("TMPDIR") : std::string("/tmp")) + "/bellstair-XXXXXX";
  const int fd = ::mkstemp(path.data());
  ::close(fd);
  std::ofstream(path) << text;
  return path;
}

struct Exit {
  int status = 0;
  std::string standard_error;
};

// The program as a child process, which is killed on destruction. Its standard error is recorded line by
// line.
class Program {
 public:
  // `max_descriptors`: its limit of open descriptors, or 0 for no change.
  Program(std::vector<std::string> arguments, std::map<std::string, std::string> environment = {},
          rlim_t max_descriptors = 0) {
    int error_pipe[2];
    if (::pipe2(error_pipe, O_CLOEXEC) != 0) throw std::runtime_error("cannot create a pipe");
    pid_ = ::fork();
    if (pid_ == 0) {
      ::dup2(error_pipe[1], STDERR_FILENO);
      for (const auto& [name, value] : environment) ::setenv(name.c_str(), value.c_str(), 1);
      const rlimit limit{max_descriptors, max_descriptors};
      if (max_descriptors != 0) ::setrlimit(RLIMIT_NOFILE, &limit);
      std::vector<char*> argv{const_cast<char*>(BELLSTAIR_PROGRAM)};
      for (auto& argument : arguments) argv.push_back(argument.data());
      argv.push_back(nullptr);
      ::execv(argv[0], argv.data());
      ::_exit(127);
    }
    ::close(error_pipe[1]);
    reader_ = std::thread([this, fd = error_pipe[0]] {
      const net::Fd owned_fd(fd);
      std::string pending;
      char buffer[4096];
      for (ssize_t size = 0; (size = ::read(fd, buffer, sizeof buffer)) > 0;) {
        pending.append(buffer, static_cast<std::size_t>(size));
        for (std::size_t end = 0; (end = pending.find('\n')) != std::string::npos; pending.erase(0, end + 1))
          log_lines_.add(pending.substr(0, end));
      }
    });
  }
  ~Program() {
    if (pid_ > 0) {
      ::kill(pid_, SIGKILL);
      wait_for_exit();
    }
  }
  // Waits for a line that contains `text` and returns it.
  std::string wait_for_log_line(const std::string& text) {
    return log_lines_.wait_for([&](const std::string& line) { return line.find(text) != std::string::npos; });
  }
  // The address that the listener of a configuration field is bound to.
  std::string listen_address(const std::string& field) {
    const auto line = wait_for_log_line("bellstair: " + field + " on ");
    return line.substr(line.rfind(' ') + 1);
  }
  void send_signal(int number) { ::kill(pid_, number); }
  // Stops the process with SIGSTOP and waits until it has stopped; SIGCONT resumes it.
  void pause() {
    ::kill(pid_, SIGSTOP);
    ::waitpid(pid_, nullptr, WUNTRACED);
  }
  // Returns the status as waitpid(2) reports it.
  int wait_for_exit() {
    int status = 0;
    ::waitpid(pid_, &status, 0);
    pid_ = -1;
    reader_.join();
    return status;
  }
  std::string log_text() { return log_lines_.describe(); }
  std::size_t log_line_count() { return count_log_lines(""); }
  std::size_t count_log_lines(const std::string& text) {
    return log_lines_.count([&](const std::string& line) { return line.find(text) != std::string::npos; });
  }

 private:
  pid_t pid_ = -1;
  Recorder<std::string> log_lines_;
  std::thread reader_;
};

// A running broker, ready to serve, with its change log.
class Broker {
 public:
  // `engines`: ids and addresses. `max_descriptors`: its limit of open descriptors, or 0 for no change.
  // `adjust_config` may change the configuration before the program reads it; `environment` is added to that
  // of the test.
  explicit Broker(const std::vector<std::pair<std::string, std::string>>& engines, const json& fronts = {},
                  rlim_t max_descriptors = 0, const std::function<void(json&)>& adjust_config = {},
                  std::map<std::string, std::string> environment = {}) {
    json members = json::array();
    for (const auto& [id, engine_address] : engines) members.push_back(server_entry(id, engine_address));
    change_log.push(std::move(members), true);
    config = {{"name", "n0"},
              {"listen", "127.0.0.1:0"},
              {"seed", "8c1f30d27a5be964"},
              {"limits", {{"sockets", 256}}},
              {"changelog", change_log.address()},
              {"known", change_log.snapshot()},
              {"settings", settings()}};
    if (adjust_config) adjust_config(config);
    std::vector<std::string> arguments{"serve", "--config",
                                       files_.emplace_back(write_temporary_file(config.dump()))};
    if (!fronts.is_null()) {
      arguments.emplace_back("--fronts");
      arguments.push_back(files_.emplace_back(write_temporary_file(fronts.dump())));
    }
    environment.emplace("TEST_SECRET", "secret");
    program = std::make_unique<Program>(arguments, std::move(environment), max_descriptors);
    address = program->listen_address("listen");
    program->wait_for_log_line("phase: serving");
  }
  // Replaces the contents of the configuration file and sends SIGHUP.
  void reload(const std::string& text) {
    std::ofstream(files_.front()) << text;
    program->send_signal(SIGHUP);
  }
  [[nodiscard]] const std::string& configuration_file() const { return files_.front(); }
  ~Broker() {
    for (const auto& file : files_) ::unlink(file.c_str());
  }
  ChangeLog change_log;
  json config;
  std::unique_ptr<Program> program;
  std::string address;

 private:
  std::vector<std::string> files_;
};

// The ticket of a client's n-th request, counted from 0.
inline std::string ticket(unsigned n) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", 0x9b1f03aa5c7e2d41ULL + n);
  return text;
}

// A client of the platform protocol (JSON-RPC, one message a line).
class Client {
 public:
  explicit Client(const std::string& address) : socket(Socket::connect_to(address)) {}
  // Sends a query, under a new ticket unless `extra_params` overrides it; they are added to the usual ones.
  void send_request(int id, const std::string& cls, const std::string& statement,
                    json extra_params = json::object()) {
    json params{{"txn", ticket(next_ticket_++)},
                {"limit", 15000},
                {"team", "acme"},
                {"data", platform::to_base64(statement)}};
    params.update(extra_params);
    socket.send(json{{"jsonrpc", "2.0"}, {"id", id}, {"method", cls}, {"params", params}}.dump() + "\n");
  }
  void cancel(int id) {
    socket.send(json{{"jsonrpc", "2.0"}, {"method", "cancel"}, {"params", {{"id", id}}}}.dump() + "\n");
  }
  json read_response() { return json::parse(socket.read_line()); }
  // Whether the health method reports the broker as ready. No other response may be pending.
  bool is_ready() {
    socket.send(R"({"jsonrpc":"2.0","id":999,"method":"health"})"
                "\n");
    return read_response()["result"]["green"];
  }
  Socket socket;

 private:
  unsigned next_ticket_ = 0;
};
// The rows of a successful response.
inline std::string result_body(const json& response) {
  return platform::from_base64(response.at("result").at("data").get<std::string>()).value();
}

}  // namespace bellstair::test
