// Checks of the pages of a result. The length in the head of a page may be wrong, and engines may send a
// second copy of a page or noise behind it. Free of I/O.
#pragma once

#include <cstddef>
#include <string_view>

namespace bellstair::platform {

// The most bytes that a page may have.
inline constexpr std::size_t kMaxPageBytes = 6000;

// What the bytes behind a page are, as far as they have been received.
enum class PageExcess {
  none,       // there are none
  foreign,    // no part of the page: a second copy or noise
  rows,       // begin with what is a row of this page: its length is too short
  undecided,  // may be the beginning of a row; more of it may follow
};

// Whether the page consists of rows of three columns, each ended by a line feed, and is not too long.
[[nodiscard]] bool complete_rows(std::string_view page);
// Judges the bytes received behind a page, which consists of complete rows.
[[nodiscard]] PageExcess classify_excess(std::string_view page, std::string_view excess);

}  // namespace bellstair::platform
