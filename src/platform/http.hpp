// HTTP/1.1 on the client's side, on top of http-parser. Free of I/O: bytes in, responses out.
#pragma once

#include <http_parser.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bellstair::platform {

struct HttpResponse {
  unsigned status = 0;
  std::map<std::string, std::string, std::less<>> headers;  // names in lower case
  std::string body;
  std::string excess;           // received behind the response; no more than a body may have
  bool keep_alive = true;       // the connection may be used again
  bool ended_by_close = false;  // its head gives no length, so the body may have been cut off
  // The value of a header; empty if there is none.
  [[nodiscard]] std::string_view header(std::string_view lower_case_name) const;
  // The value of a header as a finite decimal number; nullopt if there is none, or it is no number.
  [[nodiscard]] std::optional<double> number(std::string_view lower_case_name) const;
};

using HttpHeaders = std::vector<std::pair<std::string_view, std::string>>;

// Formats a request. Header values must not contain line breaks; the caller ensures this.
[[nodiscard]] std::string http_request(std::string_view method, std::string_view path, std::string_view host,
                                       const HttpHeaders& headers, std::string_view body);

// Parses the response to one request at a time.
class HttpResponseParser {
 public:
  static constexpr std::size_t kMaxHeaderBytes = std::size_t{16} * 1024;

  explicit HttpResponseParser(std::size_t max_body_bytes) : max_body_bytes_(max_body_bytes) { reset(); }
  // Prepares for a new response.
  void reset();
  // Parses the bytes. Returns false if they are not valid HTTP or the response is too large. If bytes follow
  // a complete response, it is valid HTTP, but its connection must not be used again. Its length may be wrong
  // then: only the caller can tell whether the excess bytes belong to the body. Excess bytes that are
  // received later may be passed to further calls.
  [[nodiscard]] bool feed(std::string_view bytes);
  // To be called at the end of the connection; true if the response is complete by that.
  [[nodiscard]] bool finish();
  [[nodiscard]] bool complete() const { return complete_; }
  [[nodiscard]] bool started() const { return started_; }
  // The status of the response, once its head is complete.
  [[nodiscard]] unsigned status() const { return response_.status; }
  // The response as far as it has been received.
  [[nodiscard]] const HttpResponse& response() const { return response_; }
  // Moves the response out.
  [[nodiscard]] HttpResponse take() { return std::move(response_); }

 private:
  static const http_parser_settings& callbacks();
  http_parser parser_{};
  HttpResponse response_;
  std::string field_, value_;  // the header being parsed
  bool in_value_ = false, complete_ = false, started_ = false;
  std::size_t header_bytes_ = 0, max_body_bytes_;
  void store_header();
  void add_excess(std::string_view bytes);
  // Adds to the size of the headers; false if they are too large.
  bool count_header_bytes(std::size_t bytes);
};

// Parses a load report such as "pending:7;x1:0.61" into values by name. Malformed entries are left out.
[[nodiscard]] std::map<std::string, double, std::less<>> parse_load_header(std::string_view text);

}  // namespace bellstair::platform
