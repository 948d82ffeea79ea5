// Checks of the pages of results, and of what engines send behind them.
#include "platform/page.hpp"

#include <gtest/gtest.h>

#include <string>

namespace bellstair::platform {
namespace {

const std::string kPage = "a\tb\tc\n";

TEST(Page, ConsistsOfCompleteRowsOfThreeColumns) {
  EXPECT_TRUE(complete_rows(""));
  EXPECT_TRUE(complete_rows(kPage + "\t\t\n"));
  EXPECT_FALSE(complete_rows("a\tb\tc"));
  EXPECT_FALSE(complete_rows("a\tb\n"));
  EXPECT_FALSE(complete_rows("a\tb\tc\td\n"));
  EXPECT_FALSE(complete_rows(std::string("a\tb\t\0\n", 6)));
  EXPECT_FALSE(complete_rows("a\tb\t" + std::string(kMaxPageBytes, 'c') + "\n"));
}

// Guards against bytes behind a page that prove nothing although they may be its next row.
TEST(Page, EveryBeginningOfARowBehindItIsUndecidedUntilTheRowIsComplete) {
  const std::string row = "d\te\tf\n";
  EXPECT_EQ(classify_excess(kPage, ""), PageExcess::none);
  for (std::size_t size = 1; size < row.size(); ++size)
    EXPECT_EQ(classify_excess(kPage, row.substr(0, size)), PageExcess::undecided) << size;
  EXPECT_EQ(classify_excess(kPage, row), PageExcess::rows);
  EXPECT_EQ(classify_excess("", row + "g"), PageExcess::rows);
}

// Guards against good pages that are fetched again although what follows them can be no row.
TEST(Page, CopiesAndNoiseBehindItAreForeign) {
  EXPECT_EQ(classify_excess(kPage, "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n"), PageExcess::foreign);
  EXPECT_EQ(classify_excess(kPage, "\n"), PageExcess::foreign);
  EXPECT_EQ(classify_excess(kPage, "a\tb\tc\td"), PageExcess::foreign);
  EXPECT_EQ(classify_excess(kPage, std::string("a\0", 2)), PageExcess::foreign);
  EXPECT_EQ(classify_excess(kPage, "a\tb\t" + std::string(kMaxPageBytes, 'c')), PageExcess::foreign);
}

}  // namespace
}  // namespace bellstair::platform
