#include "platform/rpc_id_scanner.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace bellstair::platform {

void RpcIdScanner::feed(std::string_view bytes) {
  while (!bytes.empty()) {
    if (in_string_ && !escaped_ && !expects_key_) {
      // The content of most strings, which are by far the longest part of a line, is passed over at once.
      bytes.remove_prefix(std::min(bytes.find_first_of("\"\\"), bytes.size()));
      if (bytes.empty()) return;
    }
    const char byte = bytes.front();
    bytes.remove_prefix(1);
    in_string_ ? on_string_byte(byte) : on_structure_byte(byte);
  }
}

void RpcIdScanner::on_string_byte(char byte) {
  if (!escaped_ && byte == '"') {
    in_string_ = false;
    return;
  }
  escaped_ = !escaped_ && byte == '\\';
  if (expects_key_) append_token(byte);
}

void RpcIdScanner::on_structure_byte(char byte) {
  switch (byte) {
    case '"':
      in_string_ = true;
      if (depth_ == 1) token_.clear();
      return;
    case '{':
    case '[':
      expects_key_ = ++depth_ == 1 && byte == '{';
      return;
    case '}':
    case ']':
      end_number();
      --depth_;
      return;
    case ':':
      if (depth_ != 1) return;
      value_is_id_ = token_is_id();
      expects_key_ = false;
      token_.clear();
      return;
    case ',':
      if (depth_ != 1) return;
      end_number();
      expects_key_ = true;
      token_.clear();
      return;
    case ' ':
    case '\t':
    case '\r':
      return;
    default:
      if (depth_ == 1 && value_is_id_) append_token(byte);
  }
}

void RpcIdScanner::end_number() {
  if (depth_ != 1 || !std::exchange(value_is_id_, false)) return;
  std::uint64_t value = 0;
  const auto* const end = token_.data() + token_.size();
  const auto [stop, error] = std::from_chars(token_.data(), end, value);
  if (!token_.empty() && error == std::errc() && stop == end) id_ = value;
}

void RpcIdScanner::append_token(char byte) {
  // One byte more than is of interest marks a longer token.
  if (token_.size() <= kMaxTokenBytes) token_ += byte;
}

bool RpcIdScanner::token_is_id() const {
  if (token_.find('\\') == std::string::npos) return token_ == "id";
  return nlohmann::json::parse('"' + token_ + '"', nullptr, false) == "id";
}

}  // namespace bellstair::platform
