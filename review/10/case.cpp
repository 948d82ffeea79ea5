// New engines are switched on while the fleet has more to do than it can. Do the brokers together send one of
// them more than it can bear?
#include "../lib-2/stand.hpp"

#include <cmath>

using namespace stand;

namespace {
constexpr unsigned kBrokers = 3;
constexpr int kWarm = 6, kRounds = 6, kNew = 2;
constexpr double kLoad = 1.8;         // of what the six engines can do: 1.2, and a burst of half as much again
constexpr double kWatched = 12000;  // for how long each new engine is watched
constexpr double kCores = 8, kColdFrom = 0.34, kRamp = 15000, kMultiple = 2.5, kFall = 2000, kBusy = 0.85;
struct Class {
  const char* name;
  double share, work;  // of all queries; core-milliseconds
  unsigned threads;
  double limit;
};
const std::vector<Class> kClasses = {
    {"lookup", 1, 270, 1, 5000}, {"report", 0, 3000, 4, 20000}, {"order-load", 0, 2000, 2, 25000}};
const Class& class_of(const std::string& name) {
  return *std::find_if(kClasses.begin(), kClasses.end(), [&](const Class& c) { return c.name == name; });
}
double mean_work() {
  double sum = 0;
  for (const auto& c : kClasses) sum += c.share * c.work;
  return sum;
}
double share_at(double age) { return kColdFrom + (1 - kColdFrom) * std::clamp(age / kRamp, 0.0, 1.0); }
// Requests of mean work within kFall that a cold engine bears, by STANDING.
double bearable(double age) {
  const double n = kMultiple * share_at(age) * kBusy * kCores * kFall / mean_work();
  return n < 30 ? n + 3 * std::sqrt(n) + 3 : n + 2 * std::sqrt(n) + 2;
}
}  // namespace

int main(int argc, char** argv) {
  const bool disturbed = begin(argc, argv);
  std::vector<std::unique_ptr<Engine>> engines;
  ChangeLog log;
  json list = json::array();
  const auto add_engine = [&](double cold_since) {
    char name[20];
    std::snprintf(name, sizeof name, "s-%08x", 0x1000 + 77 * static_cast<unsigned>(engines.size()));
    engines.push_back(std::make_unique<Engine>(name, "room-a", "std-8"));
    engines.back()->share_cores(
        kCores, [](const std::string& queue) { return class_of(queue).work; },
        [](const std::string& queue) { return class_of(queue).threads; },
        [cold_since](double now) { return cold_since < 0 ? 1.0 : share_at(now - cold_since); });
    engines.back()->start();
    return engines.back().get();
  };
  for (int i = 0; i < kWarm; ++i) list.push_back(add_engine(-1)->entry());
  log.add(list, true);
  log.start();
  std::vector<std::unique_ptr<Broker>> brokers;
  for (unsigned i = 0; i < kBrokers; ++i) {
    brokers.push_back(std::make_unique<Broker>("n" + std::to_string(i + 1), kBrokers, i));
    auto& broker = *brokers.back();
    char seed[20];
    std::snprintf(seed, sizeof seed, "%016llx", static_cast<unsigned long long>(unix_ms()) * 7919 + i);
    broker.config["seed"] = seed;
    broker.config["changelog"] = log.address();
    broker.config["known"] = log.known();
    broker.start();
    wait_ready(broker);
  }
  std::atomic<bool> stopped{false};
  std::vector<std::thread> threads;
  std::mutex clients_mutex;
  std::vector<std::unique_ptr<Client>> clients;
  const double rate = kLoad * kWarm * kCores * kBusy / mean_work();  // queries a millisecond
  for (unsigned b = 0; b < kBrokers; ++b) {
    threads.emplace_back([&, b] {
      std::vector<Client*> mine;
      for (int i = 0; i < 8; ++i) {
        const std::lock_guard lock(clients_mutex);
        clients.push_back(std::make_unique<Client>("client-" + std::to_string(b + 1) + "-" + std::to_string(i),
                                                   brokers[b]->port()));
        mine.push_back(clients.back().get());
      }
      unsigned state = static_cast<unsigned>(unix_ms()) * 2654435761U + b;
      const auto random = [&] {
        state = state * 1664525U + 1013904223U;
        return (state >> 8) / 16777216.0;
      };
      double next = now_ms();
      std::size_t turn = 0;
      while (!stopped) {
        next += -std::log(1 - random()) * kBrokers / rate;
        sleep_until_ms(next);
        const double draw = random(), who = random();
        const auto& c = draw < kClasses[0].share                       ? kClasses[0]
                        : draw < kClasses[0].share + kClasses[1].share ? kClasses[1]
                                                                       : kClasses[2];
        const char* tenant = who < 0.37 ? "site-one" : who < 0.69 ? "site-two" : "site-three";
        char key[17];
        std::snprintf(key, sizeof key, "7f3a9c21%08x", static_cast<unsigned>(random() * 1e9));
        mine[turn++ % mine.size()]->request(c.name, c.limit, std::string(c.name) == "order-load" ? key : "", tenant,
                                            c.work);
      }
    });
  }
  sleep_ms(8000);
  struct Joined {
    Engine* engine;
    double at;
  };
  std::vector<Joined> joined;
  double worst = 0;
  bool fell = false;
  std::string text = "no engine was sent more than it bears";
  for (int i = 0; i < kRounds && !fell; ++i) {
    for (int k = 0; k < kNew; ++k) {
      const double at = now_ms();
      auto* engine = add_engine(at);
      record("%s is switched on", engine->name().c_str());
      if (disturbed) log.add(json::array({engine->entry("in_service", unix_ms())}));
      joined.push_back({engine, at});
      sleep_ms(200);
    }
    sleep_ms(kWatched);
    for (std::size_t j = joined.size() - kNew; j < joined.size(); ++j) {
      const auto runs = joined[j].engine->runs();
      double engine_worst = 0;
      for (std::size_t to = 0, from = 0; to < runs.size(); ++to) {
        const double age = runs[to].arrived - joined[j].at;
        if (age > kWatched) break;
        while (runs[from].arrived <= runs[to].arrived - kFall) ++from;
        double sent = 0;
        for (std::size_t n = from; n <= to; ++n) sent += runs[n].work / mean_work();
        engine_worst = std::max(engine_worst, sent / bearable(age));
        if (sent > bearable(age) && !fell) {
          fell = true;
          char line[200];
          std::snprintf(line, sizeof line,
                        "%s, %.1f s after its start, was sent %.1f requests of mean work within %.0f s; it bears %.1f",
                        joined[j].engine->name().c_str(), age / 1000, sent, kFall / 1000, bearable(age));
          text = line;
        }
      }
      record("%s: at most %.2f of what it bears; %zu queries", joined[j].engine->name().c_str(), engine_worst,
             runs.size());
      worst = std::max(worst, engine_worst);
    }
    // The new ones drain again and go, as at the end of a busy spell.
    if (disturbed) {
      json gone = json::array();
      for (std::size_t j = joined.size() - kNew; j < joined.size(); ++j)
        gone.push_back(joined[j].engine->entry("terminating"));
      log.add(gone);
      sleep_ms(2000);
    }
  }
  stopped = true;
  for (auto& thread : threads) thread.join();
  int total = 0, served = 0, refused = 0;
  for (const auto& client : clients)
    for (const auto& [id, a] : client->requests()) {
      ++total;
      served += a.served() ? 1 : 0;
      refused += a.refused() ? 1 : 0;
    }
  for (auto& broker : brokers)
    if (broker->ended()) finish(1, "a broker has ended");
  record("%d requests, %d served, %d refused; worst %.2f", total, served, refused, worst);
  std::printf("%d requests, %d served, %d refused; worst %.2f\n", total, served, refused, worst);
  finish(fell ? 1 : 0, text);
}
