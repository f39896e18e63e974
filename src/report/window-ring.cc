#include "figcleat/report/window-ring.h"

#include <algorithm>

namespace figcleat::report
{

namespace
{

constexpr std::size_t firstCapacity = 4;
constexpr std::uint32_t maxCellCount = (1U << 24U) - 1;

/** Half as much again, so that little is unused, but never more than the ring can hold. */
std::size_t grownCapacity(std::size_t capacity, std::size_t most)
{
    return std::min(most, std::max(firstCapacity, capacity + capacity / 2));
}

} // namespace

level_counts &level_counts::operator+=(const level_counts &other)
{
    requests += other.requests;
    answersInTime += other.answersInTime;
    firstTokensInTime += other.firstTokensInTime;
    return *this;
}

bool window_ring::add(ring_shape shape, time_point now, const window_sample &added, cell_budget &budget)
{
    const auto current = windowAt(shape, now);
    if (!m_windows.empty() && m_windows.back().number > current) {
        return false;
    }
    if (m_windows.empty() || m_windows.back().number < current) {
        expire(shape, now, budget);
        if (m_windows.size() == m_windows.capacity()) {
            m_windows.reserve(grownCapacity(m_windows.capacity(), shape.windows));
        }
        m_windows.push_back(window { current, {}, 0 });
    }
    m_windows.back().counts += added.counts;
    if (added.latencyBin) {
        count(shape, *added.latencyBin, budget);
    }
    if (added.firstTokenBin) {
        count(shape, std::size_t { allLatencyBins } + *added.firstTokenBin, budget);
    }
    return true;
}

void window_ring::count(ring_shape shape, std::size_t place, cell_budget &budget)
{
    const auto own = m_cells.end() - m_windows.back().cells;
    const auto found = std::find_if(own, m_cells.end(), [&](const cell &each) { return each.place == place; });
    if (found != m_cells.end()) {
        found->count = std::min(found->count + 1U, maxCellCount);
        return;
    }
    if (!makeRoom(shape, budget)) {
        ++budget.refused;
        return;
    }
    m_cells.push_back(cell { static_cast<std::uint8_t>(place), 1 });
    ++m_windows.back().cells;
}

bool window_ring::makeRoom(ring_shape shape, cell_budget &budget)
{
    if (m_cells.size() < m_cells.capacity()) {
        return true;
    }
    const auto wanted = grownCapacity(m_cells.capacity(), shape.windows * both_histograms {}.size());
    const auto growth = wanted - m_cells.capacity();
    if (growth > budget.left) {
        return false;
    }
    m_cells.reserve(wanted);
    budget.left -= growth;
    return true;
}

void window_ring::expire(ring_shape shape, time_point now, cell_budget &budget)
{
    const auto current = windowAt(shape, now);
    const auto kept = std::find_if(m_windows.begin(), m_windows.end(),
                                   [&](const window &each) { return each.age(current) < shape.windows; });
    std::ptrdiff_t cells = 0;
    std::for_each(m_windows.begin(), kept, [&](const window &each) { cells += each.cells; });
    m_cells.erase(m_cells.begin(), m_cells.begin() + cells);
    m_windows.erase(m_windows.begin(), kept);
    shrink(budget);
}

void window_ring::shrink(cell_budget &budget)
{
    if (m_cells.size() >= m_cells.capacity() / 4) {
        return;
    }
    std::vector<cell> smaller;
    smaller.reserve(m_cells.size());
    smaller.assign(m_cells.begin(), m_cells.end());
    budget.left += m_cells.capacity() - smaller.capacity();
    m_cells = std::move(smaller);
}

bool window_ring::empty() const
{
    return m_windows.empty();
}

std::size_t window_ring::memoryBytes() const
{
    return m_windows.capacity() * bytesPerWindow + m_cells.capacity() * bytesPerCell;
}

both_histograms window_ring::histograms(ring_shape shape, time_point now, std::uint32_t maxAge) const
{
    both_histograms sum {};
    const auto current = windowAt(shape, now);
    auto next = m_cells.begin();
    for (const auto &each : m_windows) {
        const auto end = next + each.cells;
        if (each.age(current) < maxAge) {
            std::for_each(next, end, [&](const cell &held) { sum[held.place] += held.count; });
        }
        next = end;
    }
    return sum;
}

} // namespace figcleat::report
