#include <fmt/format.h>

int main()
{
    fmt::print("daisyroute {}\n", DAISYROUTE_VERSION);
    return 0;
}
