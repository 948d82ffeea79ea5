// Stand-ins for the cases in review/6 to review/10: the platform that starts brokers, the change log, engines
// and clients, all on loopback addresses and the real clock. They do what PROTOCOL, DEPLOY and TERMS say and
// otherwise behave like sound peers.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
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
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace stand {

using nlohmann::json;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

inline const Clock::time_point kStart = Clock::now();
// Milliseconds since the start of the case.
inline double now_ms() { return std::chrono::duration<double, std::milli>(Clock::now() - kStart).count(); }
inline void sleep_ms(double ms) { std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms)); }
inline void sleep_until_ms(double at) {
  if (at > now_ms()) sleep_ms(at - now_ms());
}
inline long long unix_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// ---- the record and the end of the case

inline std::mutex record_mutex;
inline FILE* record_file = nullptr;

// Writes a line to record.txt.
__attribute__((format(printf, 1, 2))) inline void record(const char* format, ...) {
  const std::lock_guard lock(record_mutex);
  if (record_file == nullptr) return;
  std::fprintf(record_file, "%10.1f  ", now_ms());
  va_list arguments;
  va_start(arguments, format);
  std::vfprintf(record_file, format, arguments);
  va_end(arguments);
  std::fputc('\n', record_file);
}

inline std::mutex process_mutex;
inline std::set<pid_t> running_processes;
inline std::string temporary_folder;

// Ends all processes that were started, removes the temporary folder, and exits.
[[noreturn]] inline void finish(int status, const std::string& verdict) {
  record("verdict: %s (exit %d)", verdict.c_str(), status);
  std::printf("%s (exit %d)\n", verdict.c_str(), status);
  std::fflush(stdout);
  {
    const std::lock_guard lock(process_mutex);
    for (const pid_t pid : running_processes) {
      ::kill(pid, SIGCONT);
      ::kill(pid, SIGKILL);
      ::waitpid(pid, nullptr, 0);
    }
  }
  if (!temporary_folder.empty()) {
    const auto remove = "rm -rf '" + temporary_folder + "'";
    if (std::system(remove.c_str()) != 0) std::perror("rm");
  }
  {
    const std::lock_guard lock(record_mutex);
    std::fclose(record_file);
    record_file = nullptr;
  }
  ::_exit(status);
}

// To be called first. `argv[1]`: the folder of the case. Returns whether the disruption is on.
inline bool begin(int argc, char** argv) {
  if (argc < 2) {
    std::fprintf(stderr, "usage: %s FOLDER\n", argv[0]);
    std::exit(2);
  }
  record_file = std::fopen((std::string(argv[1]) + "/record.txt").c_str(), "w");
  if (record_file == nullptr) {
    std::perror("record.txt");
    std::exit(2);
  }
  ::setvbuf(record_file, nullptr, _IOLBF, 0);
  ::signal(SIGPIPE, SIG_IGN);
  const char* base = std::getenv("TMPDIR");
  std::string pattern = std::string(base != nullptr && *base != 0 ? base : "/tmp") + "/review-XXXXXX";
  if (::mkdtemp(pattern.data()) == nullptr) finish(2, "no temporary folder");
  temporary_folder = pattern;
  std::thread([] {
    std::this_thread::sleep_for(112s);
    finish(2, "the case took too long");
  }).detach();
  const char* trouble = std::getenv("TROUBLE");
  const bool disturbed = trouble == nullptr || std::string(trouble) != "0";
  record("the disruption is %s", disturbed ? "on" : "off");
  return disturbed;
}

// ---- sockets

inline sockaddr_in loopback(int port) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  out.sin_port = htons(static_cast<std::uint16_t>(port));
  return out;
}
inline int port_of(int fd) {
  sockaddr_in at{};
  socklen_t size = sizeof at;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  return ntohs(at.sin_port);
}
// A listening socket; port 0: any free one. -1 if the port is in use.
inline int listen_on(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const auto at = loopback(port);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 || ::listen(fd, 512) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}
inline int free_port() {
  const int fd = listen_on(0);
  const int port = port_of(fd);
  ::close(fd);
  return port;
}
inline int connect_to(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto at = loopback(port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) {
    ::close(fd);
    return -1;
  }
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}
inline bool send_all(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const auto sent = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

inline std::string base64(std::string_view in) {
  static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < in.size(); i += 3) {
    unsigned value = 0;
    for (std::size_t k = 0; k < 3; ++k)
      value = value << 8 | (i + k < in.size() ? static_cast<unsigned char>(in[i + k]) : 0);
    for (int k = 0; k < 4; ++k)
      out += i + static_cast<std::size_t>(k) > in.size() ? '=' : digits[value >> (18 - 6 * k) & 63];
  }
  return out;
}

// ---- HTTP servers

struct HttpRequest {
  std::string method, path, body;
  std::map<std::string, std::string> headers;  // names in lower case
  double first_byte_ms = 0;                    // when its first byte was read
};

inline std::string http_response(int status, const std::map<std::string, std::string>& headers,
                                 const std::string& body) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
  for (const auto& [name, value] : headers) out += name + ": " + value + "\r\n";
  return out + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Reads requests from a connection, one after another.
class HttpReader {
 public:
  explicit HttpReader(int fd) : fd_(fd) {}
  std::optional<HttpRequest> next() {
    HttpRequest request;
    std::size_t end = 0;
    request.first_byte_ms = now_ms();
    bool seen = !received_.empty();
    while ((end = received_.find("\r\n\r\n")) == std::string::npos) {
      if (!read()) return std::nullopt;
      if (!seen) request.first_byte_ms = now_ms();
      seen = true;
    }
    std::size_t at = received_.find("\r\n");
    const auto line = received_.substr(0, at);
    request.method = line.substr(0, line.find(' '));
    request.path = line.substr(request.method.size() + 1, line.rfind(' ') - request.method.size() - 1);
    at += 2;
    while (at < end + 2) {
      const auto stop = received_.find("\r\n", at);
      const auto header = received_.substr(at, stop - at);
      const auto colon = header.find(": ");
      if (colon != std::string::npos) {
        auto name = header.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), ::tolower);
        request.headers[name] = header.substr(colon + 2);
      }
      at = stop + 2;
    }
    const std::size_t length =
        request.headers.count("content-length") != 0 ? std::stoul(request.headers["content-length"]) : 0;
    while (received_.size() < end + 4 + length) {
      if (!read()) return std::nullopt;
    }
    request.body = received_.substr(end + 4, length);
    received_.erase(0, end + 4 + length);
    return request;
  }

 private:
  bool read() {
    char buffer[65536];
    const auto size = ::recv(fd_, buffer, sizeof buffer, 0);
    if (size <= 0) return false;
    received_.append(buffer, static_cast<std::size_t>(size));
    return true;
  }
  int fd_;
  std::string received_;
};

// A server with one thread for each connection.
class Server {
 public:
  explicit Server(int port = 0) : fd_(listen_on(port)) {
    if (fd_ < 0) finish(2, "cannot listen");
    port_ = port_of(fd_);
  }
  virtual ~Server() = default;
  [[nodiscard]] int port() const { return port_; }
  [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  void start() { std::thread([this] { accept_all(); }).detach(); }
  // Closes the listener and all connections.
  void go_down() {
    down_ = true;
    ::shutdown(fd_, SHUT_RDWR);
    const std::lock_guard lock(connections_mutex_);
    for (const int fd : connections_) ::shutdown(fd, SHUT_RDWR);
  }
  // Listens again.
  void come_up() {
    for (int i = 0; i < 200; ++i) {
      const int fd = listen_on(port_);
      if (fd >= 0) {
        fd_ = fd;
        down_ = false;
        return start();
      }
      sleep_ms(10);
    }
    finish(2, "cannot listen again");
  }

 protected:
  virtual void serve(int fd) = 0;

 private:
  void accept_all() {
    const int listener = fd_;
    while (!down_) {
      const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (down_) break;
        continue;
      }
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([this, fd] {
        {
          const std::lock_guard lock(connections_mutex_);
          connections_.insert(fd);
        }
        serve(fd);
        const std::lock_guard lock(connections_mutex_);
        connections_.erase(fd);
        ::close(fd);
      }).detach();
    }
    ::close(listener);
  }
  std::atomic<int> fd_;
  int port_ = 0;
  std::atomic<bool> down_{false};
  std::mutex connections_mutex_;
  std::set<int> connections_;
};

// ---- the change log

class ChangeLog : public Server {
 public:
  using Server::Server;
  // Adds an event and returns its number.
  unsigned add(const json& servers, bool full = false) {
    const std::lock_guard lock(mutex_);
    const auto seq = static_cast<unsigned>(events_.size() + 1);
    events_.push_back({{"seq", seq}, {"fleet", {{"version", seq}, {"full", full}, {"servers", servers}}}});
    changed_.notify_all();
    return seq;
  }
  // All events so far, in the form of `known`.
  json known() {
    const std::lock_guard lock(mutex_);
    return {{"seq", events_.size()}, {"results", events_}};
  }
  // Each answer is sent this much later.
  std::atomic<double> late_ms{0};
  // Called before a request is answered. Its result false: the connection stays open without an answer.
  std::function<bool(unsigned since)> answers;

 protected:
  void serve(int fd) override {
    HttpReader reader(fd);
    while (auto request = reader.next()) {
      unsigned since = 0, timeout = 0;
      if (std::sscanf(request->path.c_str(), "/changes?since=%u&timeout=%u", &since, &timeout) != 2) return;
      if (answers && !answers(since)) {
        char byte = 0;
        while (::recv(fd, &byte, 1, 0) > 0) {
        }
        return;
      }
      json results = json::array();
      std::size_t last = 0;
      {
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, std::chrono::milliseconds(std::min(timeout, 5000U)),
                          [&] { return events_.size() > since; });
        last = events_.size();
        for (std::size_t i = since; i < last; ++i) results.push_back(events_[i]);
      }
      if (late_ms > 0) sleep_ms(late_ms);
      if (!results.empty()) record("change log: events %u to %zu told", since + 1, last);
      if (!send_all(fd, http_response(200, {{"Content-Type", "application/json"}},
                                      json{{"seq", last}, {"results", results}}.dump())))
        return;
    }
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<json> events_;
};

// ---- engines

class Engine : public Server {
 public:
  struct Run {
    std::string ticket, queue, statement;
    double first_byte = 0, arrived = 0, ends = 0, asked = 0;
    double work = 0, left = 0;  // of an engine with cores: core-milliseconds in all, and still to do
    unsigned threads = 1;
    bool given_up = false, told = false;
  };
  Engine(std::string name, std::string zone, std::string kind)
      : name_(std::move(name)), zone_(std::move(zone)), kind_(std::move(kind)) {}
  // Its entry in the change log.
  [[nodiscard]] json entry(const char* state = "in_service", long long started = 0) const {
    return {{"id", name_}, {"addr", address()}, {"zone", zone_},  {"kind", kind_},
            {"cell", 0},   {"state", state},    {"weight", kind_ == "big-12" ? 12 : 8}, {"started_ms", started}};
  }
  [[nodiscard]] const std::string& name() const { return name_; }
  // How long a statement runs, in milliseconds.
  std::function<double(const std::string& queue, const std::string& statement)> run_time =
      [](const std::string&, const std::string&) { return 40.0; };
  // From now on the engine has cores, which its running statements share: a statement ends when its work is done.
  // `work`: of a statement of the class, in core-milliseconds; `threads`: that it uses; `share`: of its cores that
  // the engine has at a time.
  void share_cores(double cores, std::function<double(const std::string& queue)> work,
                   std::function<unsigned(const std::string& queue)> threads, std::function<double(double)> share) {
    work_of_ = std::move(work);
    threads_of_ = std::move(threads);
    std::thread([this, cores, share = std::move(share)] {
      for (double before = now_ms();;) {
        sleep_ms(2);
        const double now = now_ms(), usable = cores * share(now);
        const std::lock_guard lock(mutex_);
        std::vector<std::shared_ptr<Run>> running;
        double threads_in_use = 0;
        for (const auto& run : active_) {
          if (run->given_up || now - run->asked > 2300) continue;
          running.push_back(run);
          threads_in_use += run->threads;
        }
        bool some_ended = false;
        for (const auto& run : running) {
          run->left -= (now - before) * run->threads * std::min(1.0, usable / threads_in_use);
          if (run->left > 0) continue;
          run->ends = now;
          some_ended = true;
        }
        std::erase_if(running, [](const auto& run) { return run->left <= 0; });
        active_ = running;
        util_ = std::min(1.0, threads_in_use / usable);
        before = now;
        if (some_ended) changed_.notify_all();
      }
    }).detach();
  }
  // The rows of a statement's result, at most one page.
  std::function<std::string(const std::string& ticket)> rows = [](const std::string& ticket) {
    return ticket + "\tok\t1\n";
  };
  // Whether the engine can use a statement; otherwise it answers 'error'.
  std::function<bool(const std::string& statement)> usable = [](const std::string&) { return true; };
  // All statements that have arrived whole, in the order of their arrival.
  std::vector<Run> runs() {
    const std::lock_guard lock(mutex_);
    std::vector<Run> out;
    for (const auto& run : runs_) out.push_back(*run);
    return out;
  }

 protected:
  void serve(int fd) override {
    HttpReader reader(fd);
    while (auto request = reader.next()) {
      const auto answer = handle(*request);
      if (answer.empty() || !write(fd, *request, answer)) return;
    }
  }
  // Writes an answer; false if the connection has ended.
  virtual bool write(int fd, const HttpRequest&, const std::string& answer) { return send_all(fd, answer); }
  std::string handle(const HttpRequest& request) {
    const std::string base = "/v1/store";
    if (request.method == "POST" && request.path == base) return start_query(request);
    if (request.path.rfind(base + "/", 0) != 0) return http_response(404, {}, "");
    auto rest = request.path.substr(base.size() + 1);
    if (request.method == "DELETE") return give_up(rest);
    if (request.method != "GET") return http_response(405, {}, "");
    const auto slash = rest.find('/');
    if (slash == std::string::npos) return http_response(404, {}, "");
    if (rest.substr(slash + 1) != "0") return http_response(500, {}, "");
    return news(rest.substr(0, slash));
  }

 private:
  std::string start_query(const HttpRequest& request) {
    const auto header = [&](const char* name) {
      const auto found = request.headers.find(name);
      return found == request.headers.end() ? std::string() : found->second;
    };
    if (!usable(request.body)) return http_response(500, {}, "");
    auto run = std::make_shared<Run>();
    run->ticket = header("x-ticket");
    run->queue = header("x-queue");
    run->statement = request.body;
    run->first_byte = request.first_byte_ms;
    run->arrived = run->asked = now_ms();
    run->ends = work_of_ ? 1e12 : run->arrived + run_time(run->queue, run->statement);
    {
      const std::lock_guard lock(mutex_);
      if (work_of_) {
        run->work = run->left = work_of_(run->queue);
        run->threads = threads_of_(run->queue);
        active_.push_back(run);
      }
      runs_.push_back(run);
      current_[run->ticket] = run;
    }
    record("%s: starts %s %s: %s", name_.c_str(), run->queue.c_str(), run->ticket.c_str(), run->statement.c_str());
    return news(run->ticket);
  }
  // Answers at the end of the query, or after 250 ms.
  std::string news(const std::string& ticket) {
    std::unique_lock lock(mutex_);
    const auto found = current_.find(ticket);
    if (found == current_.end()) return http_response(500, {}, "");
    const auto run = found->second;
    if (run->given_up || (run->ends > now_ms() && now_ms() - run->asked > 2000)) {
      if (!run->given_up) record("%s: %s was not asked for", name_.c_str(), ticket.c_str());
      run->given_up = true;
      return http_response(500, {}, "");
    }
    run->asked = now_ms();
    const auto until = now_ms() + 250;
    while (now_ms() < until && now_ms() < run->ends && !run->given_up)
      changed_.wait_for(lock, std::chrono::duration<double, std::milli>(
                                  std::max(0.1, std::min(until, run->ends) - now_ms())));
    run->asked = now_ms();
    if (run->given_up) return http_response(500, {}, "");
    char meter[80];
    std::snprintf(meter, sizeof meter, "cpu_share:%.2f;busy_reqs:%zu;x0:0.1", work_of_ ? util_ : 0.3,
                  work_of_ ? active_.size() : 1);
    std::map<std::string, std::string> headers = {{"X-Meter", meter}};
    if (now_ms() < run->ends) return http_response(202, headers, "");
    if (!run->told) record("%s: ends %s", name_.c_str(), ticket.c_str());
    run->told = true;
    headers.insert({{"Result-Pages", "1"},
                    {"Query-Cost", work_of_ ? std::to_string(static_cast<int>(run->work)) : "40"},
                    {"Query-Need", "64"}});
    return http_response(200, headers, rows(ticket));
  }
  std::string give_up(const std::string& ticket) {
    const std::lock_guard lock(mutex_);
    const auto found = current_.find(ticket);
    if (found != current_.end()) {
      found->second->given_up = true;
      record("%s: %s deleted", name_.c_str(), ticket.c_str());
    }
    changed_.notify_all();
    return http_response(204, {}, "");
  }
  std::string name_, zone_, kind_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::shared_ptr<Run>> runs_;
  std::map<std::string, std::shared_ptr<Run>> current_;
  std::function<double(const std::string&)> work_of_;
  std::function<unsigned(const std::string&)> threads_of_;
  std::vector<std::shared_ptr<Run>> active_;
  double util_ = 0;
};

// ---- brokers

// Settings of a small deployment: those of the site suva-main in WIRE, with `brokers` brokers.
inline json settings(unsigned brokers, unsigned me) {
  const long long ms = 1000000;
  const auto of_class = [&](const char* name, long long aim, double stretch, long long give_up, double credit,
                            double late, const char* semantics) {
    return json{{"name", name},       {"aim", aim * ms},      {"aim-stretch", stretch}, {"give-up", give_up * ms},
                {"credit", credit},   {"late-share", late},   {"semantics", semantics}, {"group", "all"},
                {"stream", false},    {"window", 5000 * ms}};
  };
  auto load = of_class("order-load", 4000, 2.5, 25000, 6, 0.5, "unsafe");
  load["in-order"] = true;
  return {
      {"az", 0},
      {"balancers", brokers},
      {"me", me},
      {"ceilings",
       {{"cancel", true}, {"cpu-us-per-request", 0.0}, {"cpu-us-per-s", 100000}, {"dial-timeout", 250 * ms},
        {"idle-close", 15000 * ms}, {"max-attempts", 6}, {"max-retry-after", 1000 * ms}, {"may-tell", false},
        {"most-held", 20000}, {"probing", false}, {"retry-after", true}, {"second-copies", false},
        {"streams-per-conn", 100}}},
      {"classes",
       {of_class("lookup", 1000, 1.5, 5000, 1, 0, "safe"), of_class("report", 3000, 2.5, 20000, 10, 0.3, "safe"),
        load}},
      {"clients", {{"marks-retry", false}}},
      {"family-info",
       {{"class-waits", {false, false, false}}, {"cpu-of-kind", {12, 8}}, {"grants", true},
        {"loads", {false, false, true}}, {"max-grant-share", 0.4}, {"notes", ""}, {"out-of-memory", "overcommit"},
        {"progress-pace", 0}, {"ram-of-kind-mb", {24576.0, 16384.0}}, {"report-x0", "share of memory granted"},
        {"report-x1", "share of disks busy"}, {"takes-priority", false}, {"tells-cost", true},
        {"width-by-class", {1, 4, 2}}}},
      {"goal", {{"whole", 0.45}, {"worst-class", 0.2}, {"worst-tenant", 0.1}, {"worst-window", 0.25}}},
      {"kinds", {"big-12", "std-8"}},
      {"membership-mode", "pushed"},
      {"over-share-worth", 0.1},
      {"prices", {{"cross-zone", 0.02}, {"late-fail", 0.05}, {"waste", 0.043}}},
      {"report", {{"fields", {"cpu_share", "busy_reqs", "x0"}}, {"how", "piggyback"}}},
      {"safety",
       {{"ask-within", 10000 * ms}, {"cold-from", 0.34}, {"drain-grace", 250 * ms}, {"fall", 2000 * ms},
        {"free-resends", 2.0}, {"further-ratio", 0.1}, {"grace-to-answer", 20 * ms}, {"ramp-time", 15000 * ms},
        {"resend-span", 10000 * ms}, {"tip-multiple", 2.5}, {"turn-gap", 0}}},
      {"step", 5 * ms},
      {"tenants",
       {{{"name", "site-one"}, {"portion", 0.37}, {"quota-rps", 49.0}},
        {{"name", "site-two"}, {"portion", 0.32}, {"quota-rps", 42.0}},
        {{"name", "site-three"}, {"portion", 0.31}, {"quota-rps", 41.0}}}},
      {"tier", 0},
      {"tiers", {"query-fleet"}},
      {"value-by", "request"},
      {"weights", "nominal"},
      {"workload", "queries"},
      {"zones", {"room-a", "room-b"}},
  };
}

// One broker, started as the platform starts it: `run` of the deploy file by /bin/sh -c, from the root.
class Broker {
 public:
  explicit Broker(std::string name, unsigned brokers = 1, unsigned me = 0)
      : name_(std::move(name)), port_(free_port()), folder_(temporary_folder + "/" + name_) {
    ::mkdir(folder_.c_str(), 0700);
    ::mkdir((folder_ + "/tmp").c_str(), 0700);
    config = {{"name", name_},
              {"listen", "127.0.0.1:" + std::to_string(port_)},
              {"seed", "8c1f30d27a5be964"},
              {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
              {"settings", settings(brokers, me)}};
  }
  json config;
  [[nodiscard]] int port() const { return port_; }
  [[nodiscard]] pid_t pid() const { return pid_; }
  void write_config() {
    std::ofstream(folder_ + "/new.json") << config.dump();
    ::rename((folder_ + "/new.json").c_str(), (folder_ + "/config.json").c_str());
  }
  void start() {
    write_config();
    const char* command = std::getenv("RUN_COMMAND");
    if (command == nullptr) finish(2, "RUN_COMMAND is not set");
    const auto log = folder_ + "/log";
    const auto listen = "127.0.0.1:" + std::to_string(port_);
    pid_ = ::fork();
    if (pid_ == 0) {
      const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      ::dup2(fd, 1);
      ::dup2(fd, 2);
      ::signal(SIGPIPE, SIG_DFL);
      ::setenv("BALANCER_NAME", name_.c_str(), 1);
      ::setenv("BALANCER_LISTEN", listen.c_str(), 1);
      ::setenv("BALANCER_CONFIG", (folder_ + "/config.json").c_str(), 1);
      ::setenv("TMPDIR", (folder_ + "/tmp").c_str(), 1);
      ::execl("/bin/sh", "sh", "-c", command, static_cast<char*>(nullptr));
      ::_exit(127);
    }
    const std::lock_guard lock(process_mutex);
    running_processes.insert(pid_);
    record("platform: %s started: %s", name_.c_str(), command);
  }
  void send_signal(int signal) {
    record("platform: signal %d to %s", signal, name_.c_str());
    ::kill(pid_, signal);
  }
  // Its memory without files and code, in MiB.
  [[nodiscard]] double memory_mb() const {
    std::ifstream in("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(in, line);)
      if (line.rfind("RssAnon:", 0) == 0) return std::atof(line.c_str() + 8) / 1024;
    return 0;
  }
  // Whether it has ended by itself.
  bool ended() {
    if (ended_) return true;
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) != pid_) return false;
    ended_ = true;
    const std::lock_guard lock(process_mutex);
    running_processes.erase(pid_);
    record("platform: %s ended, status %x", name_.c_str(), static_cast<unsigned>(status));
    return true;
  }
  // Copies the end of its log to the record, without the lines of figures.
  void record_log(std::size_t lines = 30) {
    std::ifstream in(folder_ + "/log");
    std::vector<std::string> all;
    for (std::string line; std::getline(in, line);) {
      const bool figures = line.find("thread budget") != std::string::npos || line.find(": engines: ") != std::string::npos;
      if (!figures) all.push_back(line);
    }
    for (std::size_t i = all.size() > lines ? all.size() - lines : 0; i < all.size(); ++i)
      record("log of %s: %s", name_.c_str(), all[i].c_str());
  }
  [[nodiscard]] std::string log() const {
    std::ifstream in(folder_ + "/log");
    return {std::istreambuf_iterator<char>(in), {}};
  }

 private:
  std::string name_;
  int port_;
  std::string folder_;
  pid_t pid_ = 0;
  bool ended_ = false;
};

// ---- clients

inline std::atomic<unsigned long long> last_ticket{0x9b1f03aa00000000ULL};
inline std::string new_ticket() {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", ++last_ticket);
  return text;
}

struct Answer {
  std::string ticket, line;  // line: empty while there is none
  double sent = 0, at = 0;   // at: when the whole answer was read
  double limit = 0;
  std::string method, key;
  [[nodiscard]] bool served() const { return line.find("\"result\"") != std::string::npos; }
  [[nodiscard]] bool refused() const { return line.find("-32066") != std::string::npos; }
};

// One connection of a usual client.
class Client {
 public:
  Client(std::string name, int port) : name_(std::move(name)), fd_(connect_to(port)) {
    if (fd_ < 0) return;
    std::thread([this] { read_all(); }).detach();
  }
  [[nodiscard]] bool connected() const { return fd_ >= 0; }
  // Asks for the health and waits for the answer.
  bool healthy(double wait_ms = 1000) {
    unsigned id = 0;
    {
      const std::lock_guard lock(mutex_);
      id = ++last_id_;
      requests_[id].method = "health";
    }
    send_all(fd_, "{\"jsonrpc\":\"2.0\",\"id\":" + std::to_string(id) + ",\"method\":\"health\"}\n");
    const auto answer = wait(id, wait_ms);
    return answer.line.find("true") != std::string::npos;
  }
  // Sends a request and returns its id.
  unsigned request(const std::string& method, double limit, const std::string& key = {},
                   const std::string& tenant = "site-one", double cpu = 40) {
    Answer request;
    request.ticket = new_ticket();
    request.method = method;
    request.limit = limit;
    request.key = key;
    json params = {{"txn", request.ticket}, {"limit", limit}, {"team", tenant}, {"cpu", cpu}, {"ram", 64},
                   {"data", base64("SELECT a, b, c FROM sales_" + std::to_string(last_ticket % 40) + ".orders -- " +
                                    request.ticket)}};
    if (!key.empty()) params["item"] = key;
    unsigned id = 0;
    std::string line;
    {
      const std::lock_guard lock(mutex_);
      id = ++last_id_;
      line = json{{"jsonrpc", "2.0"}, {"id", id}, {"method", method}, {"params", params}}.dump() + "\n";
      request.sent = now_ms();
      requests_[id] = request;
    }
    record("%s: sends %s %s%s%s", name_.c_str(), method.c_str(), request.ticket.c_str(), key.empty() ? "" : " key ",
           key.c_str());
    send_all(fd_, line);
    return id;
  }
  // Sends a request with a statement of `bytes` bytes in two pieces, `apart_ms` apart, its members in the order of the
  // examples in the JSON-RPC specification: the id comes last.
  unsigned large_request_in_pieces(const std::string& method, double limit, const std::string& key,
                                   std::size_t bytes, double apart_ms) {
    Answer request;
    request.ticket = new_ticket();
    request.method = method;
    request.limit = limit;
    request.key = key;
    const json params = {{"txn", request.ticket}, {"limit", limit}, {"team", "site-one"}, {"cpu", 40.0}, {"ram", 64},
                         {"item", key}, {"data", base64("INSERT INTO sales_17.orders -- " + request.ticket + " " +
                                                        std::string(bytes, 'x'))}};
    unsigned id = 0;
    {
      const std::lock_guard lock(mutex_);
      id = ++last_id_;
      request.sent = now_ms() + apart_ms;
      requests_[id] = request;
    }
    const auto line = "{\"jsonrpc\":\"2.0\",\"method\":\"" + method + "\",\"params\":" + params.dump() +
                      ",\"id\":" + std::to_string(id) + "}\n";
    const auto first = line.size() * 9 / 10;
    record("%s: sends %s %s key %s, %zu bytes in two pieces", name_.c_str(), method.c_str(), request.ticket.c_str(),
           key.c_str(), line.size());
    send_all(fd_, std::string_view(line).substr(0, first));
    sleep_ms(apart_ms);
    send_all(fd_, std::string_view(line).substr(first));
    return id;
  }
  Answer wait(unsigned id, double wait_ms) {
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, std::chrono::duration<double, std::milli>(wait_ms),
                      [&] { return !requests_[id].line.empty() || ended_; });
    return requests_[id];
  }
  std::map<unsigned, Answer> requests() {
    const std::lock_guard lock(mutex_);
    return requests_;
  }
  [[nodiscard]] bool ended() const { return ended_; }
  [[nodiscard]] int second_answers() const { return second_answers_; }
  // Closes the connection.
  void close() { ::shutdown(fd_, SHUT_RDWR); }
  [[nodiscard]] int fd() const { return fd_; }

 private:
  void read_all() {
    std::string received;
    char buffer[65536];
    while (true) {
      const auto size = ::recv(fd_, buffer, sizeof buffer, 0);
      if (size <= 0) break;
      received.append(buffer, static_cast<std::size_t>(size));
      for (std::size_t end = 0; (end = received.find('\n')) != std::string::npos; received.erase(0, end + 1)) {
        const auto line = received.substr(0, end);
        const auto message = json::parse(line, nullptr, false);
        const unsigned id = message.is_object() && message.contains("id") && message["id"].is_number_unsigned()
                                ? message["id"].get<unsigned>()
                                : 0;
        const std::lock_guard lock(mutex_);
        const auto found = requests_.find(id);
        if (found == requests_.end()) {
          record("%s: reads %s", name_.c_str(), line.c_str());
          continue;
        }
        if (!found->second.line.empty()) ++second_answers_;
        found->second.line = line;
        found->second.at = now_ms();
        if (found->second.method != "health")
          record("%s: answer to %s after %.0f ms: %s", name_.c_str(), found->second.ticket.c_str(),
                 found->second.at - found->second.sent, line.substr(0, 120).c_str());
        changed_.notify_all();
      }
    }
    const std::lock_guard lock(mutex_);
    ended_ = true;
    changed_.notify_all();
  }
  std::string name_;
  int fd_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<unsigned, Answer> requests_;
  unsigned last_id_ = 0;
  std::atomic<bool> ended_{false};
  std::atomic<int> second_answers_{0};
};

// Waits until the broker answers health with "green":true; ends the case if it does not within 30 s.
inline void wait_ready(Broker& broker) {
  const double until = now_ms() + 30000;
  while (now_ms() < until) {
    if (broker.ended()) finish(2, "the broker ended before it was ready");
    // Each probe has its own connection; the objects stay, since a thread reads them.
    auto* probe = new Client("front", broker.port());
    if (probe->connected() && probe->healthy()) {
      probe->close();
      record("platform: the broker is ready");
      return;
    }
    if (probe->connected()) probe->close();
    sleep_ms(50);
  }
  finish(2, "the broker was not ready within 30 s");
}

}  // namespace stand
