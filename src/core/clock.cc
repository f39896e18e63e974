#include "figcleat/core/clock.h"

namespace figcleat
{

time_point system_clock::now() const
{
    return std::chrono::steady_clock::now();
}

wall_time system_clock::wallNow() const
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

} // namespace figcleat
