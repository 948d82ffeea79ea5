// Some good answers of engines have a length that does not fit. Does a client that is answered 'served' get all rows
// of its result?
#include "../lib-2/stand.hpp"

using namespace stand;

namespace {
constexpr std::size_t kRows = 4, kRowBytes = 1300;  // a page of 5,200 bytes; PROTOCOL: at most 6,000
constexpr std::size_t kSegment = 1448;              // of TCP on a network with packets of 1,500 bytes
constexpr double kBetweenSegments = 0.3;            // ms
constexpr int kSpoiltOneIn = 5;
constexpr int kRequests = 100;

std::string result_of(const std::string& ticket) {
  std::string out;
  for (std::size_t row = 1; row <= kRows; ++row) {
    auto line = ticket + "\t" + std::to_string(row) + "\t";
    line += std::string(kRowBytes - 1 - line.size(), static_cast<char>('a' + row)) + "\n";
    out += line;
  }
  return out;
}

// Its answers come in segments, a little apart. If `spoils`, the head of one good answer in five gives the length of
// only the first rows; all rows follow it nevertheless. A page that is asked for again is good.
class SegmentedEngine : public Engine {
 public:
  using Engine::Engine;
  bool spoils = false;
  std::atomic<int> spoilt{0};

 protected:
  bool write(int fd, const HttpRequest& request, const std::string& answer) override {
    auto text = answer;
    const auto body = answer.find("\r\n\r\n") + 4;
    const bool good_end = answer.rfind("HTTP/1.1 200", 0) == 0;
    if (spoils && good_end && request.method == "POST" && ++good_ends_ % kSpoiltOneIn == 0) {
      const auto rows_told = static_cast<std::size_t>(spoilt++) % kRows;  // 0 to 3 of the 4
      const auto at = answer.find("Content-Length: ");
      text = answer.substr(0, at) + "Content-Length: " + std::to_string(rows_told * kRowBytes) + "\r\n\r\n" +
             answer.substr(body);
      const auto ticket = request.headers.at("x-ticket");
      record("%s: the answer for %s gives the length of %zu of %zu rows", name().c_str(), ticket.c_str(), rows_told,
             kRows);
    }
    for (std::size_t i = 0; i < text.size(); i += kSegment) {
      if (i > 0) sleep_ms(kBetweenSegments);
      if (!send_all(fd, std::string_view(text).substr(i, kSegment))) return false;
    }
    return true;
  }

 private:
  std::atomic<int> good_ends_{0};
};
}  // namespace

int main(int argc, char** argv) {
  const bool disturbed = begin(argc, argv);
  std::vector<std::unique_ptr<SegmentedEngine>> engines;
  ChangeLog log;
  json list = json::array();
  for (int i = 0; i < 3; ++i) {
    engines.push_back(std::make_unique<SegmentedEngine>("s-0000000" + std::to_string(i + 1), "room-a", "big-12"));
    engines.back()->rows = result_of;
    engines.back()->spoils = disturbed;
    engines.back()->start();
    list.push_back(engines.back()->entry());
  }
  log.add(list, true);
  log.start();
  Broker broker("n1");
  broker.config["changelog"] = log.address();
  broker.config["known"] = log.known();
  broker.start();
  wait_ready(broker);
  Client client("client", broker.port());
  std::vector<unsigned> ids;
  for (int i = 0; i < kRequests; ++i) {
    ids.push_back(client.request("lookup", 3000));
    sleep_ms(50);
  }
  sleep_ms(3500);
  if (broker.ended()) finish(1, "the broker has ended");
  int served = 0, wrong = 0, spoilt = 0;
  for (const auto id : ids) {
    const auto answer = client.requests()[id];
    if (!answer.served()) continue;
    ++served;
    const auto data = json::parse(answer.line)["result"]["data"].get<std::string>();
    if (data == base64(result_of(answer.ticket))) continue;
    ++wrong;
    record("wrong: %s was answered 'served' with %zu bytes of base64, for a result of %zu", answer.ticket.c_str(),
           data.size(), base64(result_of(answer.ticket)).size());
  }
  for (const auto& engine : engines) spoilt += engine->spoilt;
  broker.record_log();
  record("%d requests, %d served, %d answers spoilt, %d results wrong", kRequests, served, spoilt, wrong);
  if (served < kRequests / 2 || (disturbed && spoilt == 0)) finish(2, "too few were served or spoilt");
  finish(wrong > 0 ? 1 : 0, std::to_string(wrong) + " of " + std::to_string(served) + " results lack rows");
}
