#include "platform/page.hpp"

#include <algorithm>
#include <utility>

namespace bellstair::platform {
namespace {
constexpr int kTabsPerRow = 2;
}  // namespace

bool complete_rows(std::string_view page) {
  if (page.size() > kMaxPageBytes || (!page.empty() && page.back() != '\n')) return false;
  int tabs = 0;
  for (const char c : page) {
    tabs += c == '\t' ? 1 : 0;
    if (c == '\n' && std::exchange(tabs, 0) != kTabsPerRow) return false;
    if (c == '\0') return false;
  }
  return true;
}

PageExcess classify_excess(std::string_view page, std::string_view excess) {
  if (excess.empty()) return PageExcess::none;
  const auto line_feed = excess.find('\n');
  const auto room = kMaxPageBytes - std::min(kMaxPageBytes, page.size());
  if (line_feed != std::string_view::npos) {
    const auto row = excess.substr(0, line_feed + 1);
    return row.size() <= room && complete_rows(row) ? PageExcess::rows : PageExcess::foreign;
  }
  const bool may_be_row = excess.size() < room && excess.find('\0') == std::string_view::npos &&
                          std::ranges::count(excess, '\t') <= kTabsPerRow;
  return may_be_row ? PageExcess::undecided : PageExcess::foreign;
}

}  // namespace bellstair::platform
