#include "platform/http.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace bellstair::platform {
namespace {
std::optional<double> parse_number(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || error != std::errc() || end != text.data() + text.size() || !std::isfinite(value))
    return std::nullopt;
  return value;
}
}  // namespace

std::string_view HttpResponse::header(std::string_view name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? std::string_view() : std::string_view(found->second);
}

std::optional<double> HttpResponse::number(std::string_view name) const { return parse_number(header(name)); }

std::string http_request(std::string_view method, std::string_view path, std::string_view host,
                         const HttpHeaders& headers, std::string_view body) {
  std::string result;
  result.reserve(256 + body.size());
  result.append(method).append(" ").append(path).append(" HTTP/1.1\r\nHost: ").append(host).append("\r\n");
  for (const auto& [name, value] : headers) result.append(name).append(": ").append(value).append("\r\n");
  if (!body.empty() || method == "POST" || method == "PUT")
    result.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
  return result.append("\r\n").append(body);
}

const http_parser_settings& HttpResponseParser::callbacks() {
  static const http_parser_settings kCallbacks = [] {
    http_parser_settings s{};
    const auto self = [](http_parser* p) -> HttpResponseParser& {
      return *static_cast<HttpResponseParser*>(p->data);
    };
    static const auto parser_of = self;
    s.on_header_field = [](http_parser* p, const char* at, std::size_t size) {
      auto& r = parser_of(p);
      if (r.in_value_) r.store_header();
      r.field_.append(at, size);
      return r.count_header_bytes(size) ? 0 : 1;
    };
    s.on_header_value = [](http_parser* p, const char* at, std::size_t size) {
      auto& r = parser_of(p);
      r.in_value_ = true;
      r.value_.append(at, size);
      return r.count_header_bytes(size) ? 0 : 1;
    };
    s.on_headers_complete = [](http_parser* p) {
      auto& r = parser_of(p);
      r.store_header();
      r.response_.status = p->status_code;
      // Rejects a body by its announced length rather than after reading it.
      const bool has_length = (p->flags & F_CONTENTLENGTH) != 0;
      return has_length && p->content_length > r.max_body_bytes_ ? -1 : 0;
    };
    s.on_body = [](http_parser* p, const char* at, std::size_t size) {
      auto& r = parser_of(p);
      if (r.response_.body.size() + size > r.max_body_bytes_) return 1;
      r.response_.body.append(at, size);
      return 0;
    };
    s.on_message_complete = [](http_parser* p) {
      auto& r = parser_of(p);
      r.complete_ = true;
      r.response_.keep_alive = http_should_keep_alive(p) != 0;
      http_parser_pause(p, 1);
      return 0;
    };
    return s;
  }();
  return kCallbacks;
}

void HttpResponseParser::reset() {
  http_parser_init(&parser_, HTTP_RESPONSE);
  parser_.data = this;
  response_ = {};
  field_.clear();
  value_.clear();
  in_value_ = complete_ = started_ = false;
  header_bytes_ = 0;
}

bool HttpResponseParser::feed(std::string_view bytes) {
  if (complete_) {
    add_excess(bytes);
    return true;
  }
  started_ = started_ || !bytes.empty();
  parser_.data = this;
  const auto used = http_parser_execute(&parser_, &callbacks(), bytes.data(), bytes.size());
  if (complete_ && response_.status < 200 && response_.status != 101) {
    // An interim response precedes the final one. The headers of all interim responses count
    // together, which bounds their number.
    const auto header_bytes = header_bytes_ + used;
    reset();
    started_ = true;
    header_bytes_ = header_bytes;
    return header_bytes <= kMaxHeaderBytes && (used == bytes.size() || feed(bytes.substr(used)));
  }
  if (complete_) {
    add_excess(bytes.substr(used));
    return true;
  }
  return HTTP_PARSER_ERRNO(&parser_) == HPE_OK && used == bytes.size();
}

void HttpResponseParser::add_excess(std::string_view bytes) {
  if (bytes.empty()) return;
  response_.keep_alive = false;
  response_.excess.append(
      bytes.substr(0, max_body_bytes_ - std::min(max_body_bytes_, response_.excess.size())));
}

bool HttpResponseParser::finish() {
  if (complete_ || !started_) return false;
  parser_.data = this;
  http_parser_execute(&parser_, &callbacks(), nullptr, 0);
  response_.ended_by_close = complete_;
  return complete_;
}

void HttpResponseParser::store_header() {
  if (field_.empty()) return;
  std::ranges::transform(field_, field_.begin(), [](unsigned char c) { return std::tolower(c); });
  response_.headers[field_] = value_;
  field_.clear();
  value_.clear();
  in_value_ = false;
}

bool HttpResponseParser::count_header_bytes(std::size_t bytes) {
  return (header_bytes_ += bytes) <= kMaxHeaderBytes;
}

std::map<std::string, double, std::less<>> parse_load_header(std::string_view text) {
  std::map<std::string, double, std::less<>> result;
  while (!text.empty()) {
    const auto end = std::min(text.find(';'), text.size());
    const auto entry = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    const auto colon = entry.find(':');
    if (colon == std::string_view::npos) continue;
    if (const auto value = parse_number(entry.substr(colon + 1)))
      result.insert_or_assign(std::string(entry.substr(0, colon)), *value);
  }
  return result;
}

}  // namespace bellstair::platform
