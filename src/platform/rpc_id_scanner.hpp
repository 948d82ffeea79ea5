// Finds the id of a JSON-RPC call whose line is received in parts and not kept. Free of I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bellstair::platform {

// Follows the structure of one JSON object as far as its id requires, in constant memory. Text that is no
// JSON has no id, or what looks like one; it is not validated.
class RpcIdScanner {
 public:
  // Takes the next part of the line.
  void feed(std::string_view bytes);
  // The member "id" of the object, once it has been received whole; nullopt before that, and if it is no
  // whole number.
  [[nodiscard]] std::optional<std::uint64_t> id() const { return id_; }

 private:
  // Of a key or number that may be of interest; longer ones are not. "id" has 12 with both letters escaped.
  static constexpr std::size_t kMaxTokenBytes = 24;

  // How many of the bytes in front can't change anything.
  [[nodiscard]] std::size_t count_irrelevant(std::string_view bytes) const;
  void on_string_byte(char byte);
  void on_structure_byte(char byte);
  void end_number();
  void append_token(char byte);
  // Whether the token is the key "id", which may be written with escapes.
  [[nodiscard]] bool token_is_id() const;

  bool ended_ = false;  // what follows has no id
  int depth_ = 0;
  bool in_string_ = false, escaped_ = false;
  bool expects_key_ = false;  // the next string at depth 1 is a key
  bool value_is_id_ = false;  // the value being received is that of the key "id"
  std::string token_;         // the key or number being received, at depth 1
  std::optional<std::uint64_t> id_;
};

}  // namespace bellstair::platform
