#include "platform/rpc_id_scanner.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace bellstair::platform {
namespace {
class ByteSet {
 public:
  constexpr explicit ByteSet(std::string_view bytes) {
    for (const char byte : bytes) contains_[static_cast<unsigned char>(byte)] = true;
  }
  // The position of the first byte in the text that is in the set; the text's size if there is none.
  [[nodiscard]] std::size_t find_first_in(std::string_view text) const {
    std::size_t at = 0;
    while (at < text.size() && !contains_[static_cast<unsigned char>(text[at])]) ++at;
    return at;
  }

 private:
  std::array<bool, 256> contains_{};
};
}  // namespace

void RpcIdScanner::feed(std::string_view bytes) {
  while (!ended_) {
    bytes.remove_prefix(count_irrelevant(bytes));
    if (bytes.empty()) return;
    const char byte = bytes.front();
    bytes.remove_prefix(1);
    in_string_ ? on_string_byte(byte) : on_structure_byte(byte);
  }
}

std::size_t RpcIdScanner::count_irrelevant(std::string_view bytes) const {
  constexpr ByteSet kInString("\"\\"), kInValue("\"{}[]");
  if (in_string_) return escaped_ || expects_key_ ? 0 : kInString.find_first_in(bytes);
  return depth_ > 1 ? kInValue.find_first_in(bytes) : 0;
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
  const bool is_space = byte == ' ' || byte == '\t' || byte == '\r';
  if (depth_ == 0 && byte != '{') {
    ended_ = !is_space;  // no object, or something behind one
    return;
  }
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
