#include "figcleat/group/popularity.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace figcleat::group
{

namespace
{

double sum(const std::vector<double> &values)
{
    return std::accumulate(values.begin(), values.end(), 0.0);
}

std::vector<double> toDoubles(const std::vector<std::uint32_t> &counts)
{
    return { counts.begin(), counts.end() };
}

} // namespace

double samplingNoise(const std::vector<double> &counts)
{
    const double total = sum(counts);
    double noise = 0;
    for (const double count : counts) {
        noise += std::sqrt(count);
    }
    // Expected total variation distance that is due to sampling alone; 1, the largest distance, without counts. Counts
    // are treated as Poisson variables with standard deviation sqrt(count). Their mean absolute deviation is
    // approximately sqrt(2 / pi) times the standard deviation.
    return total > 0 ? 0.5 * std::sqrt(2 / 3.14159) * noise / total : 1;
}

double totalVariationDistance(const std::vector<double> &a, const std::vector<double> &b)
{
    const double totalA = sum(a);
    const double totalB = sum(b);
    if (totalA <= 0 || totalB <= 0) {
        return 0;
    }
    double result = 0;
    for (std::size_t i = 0; i < a.size(); ++i) {
        result += std::abs(a[i] / totalA - b[i] / totalB);
    }
    return result / 2;
}

popularity_estimator::popularity_estimator(const popularity_settings &settings)
    : m_settings(settings)
    , m_layers(settings.layers)
{
    for (auto &layer : m_layers) {
        layer.tokens.assign(settings.experts, 0);
    }
}

result_code popularity_estimator::observe(const load_window &counts)
{
    if (counts.layer >= m_layers.size() || counts.tokens.size() != m_settings.experts) {
        return result_code::message_malformed;
    }
    auto &layer = m_layers[counts.layer];
    const bool isTooOld = counts.window + m_settings.windowsKept <= layer.newestWindow;
    if (isTooOld
        || std::find(layer.seenWindows.begin(), layer.seenWindows.end(), counts.window) != layer.seenWindows.end()) {
        return result_code::map_stale;
    }
    layer.seenWindows.push_back(counts.window);
    if (layer.seenWindows.size() > m_settings.windowsKept) {
        layer.seenWindows.pop_front();
    }
    if (counts.window >= layer.newestWindow) {
        addNewestWindow(layer, counts);
        return result_code::ok;
    }
    const double weight
        = std::exp2(-static_cast<double>(layer.newestWindow - counts.window) / m_settings.halfLifeWindows);
    for (std::size_t expert = 0; expert < layer.tokens.size(); ++expert) {
        layer.tokens[expert] += weight * counts.tokens[expert];
    }
    layer.weight += weight;
    return result_code::ok;
}

void popularity_estimator::addNewestWindow(layer_history &layer, const load_window &counts)
{
    const auto elapsedWindows = counts.window - layer.newestWindow;
    const auto windowTokens = toDoubles(counts.tokens);
    const bool isJump = isSuspectedJump(layer, counts);
    const bool isConfirmed = isJump && !layer.suspectedJump.empty()
        && totalVariationDistance(layer.suspectedJump, windowTokens)
            < totalVariationDistance(layer.tokens, windowTokens) / 2;
    if (isConfirmed) {
        ++m_jumpCount;
        layer.tokens = layer.suspectedJump;
        layer.weight = 1;
        layer.driftPerSecond = 0;
        layer.newestWindow = layer.suspectedJumpWindow;
    }
    decay(layer, counts.window - layer.newestWindow);
    const auto previousTokens = layer.tokens;
    for (std::size_t expert = 0; expert < layer.tokens.size(); ++expert) {
        layer.tokens[expert] += windowTokens[expert];
    }
    layer.weight += 1;
    layer.newestWindow = counts.window;
    layer.suspectedJump = isJump && !isConfirmed ? windowTokens : std::vector<double> {};
    layer.suspectedJumpWindow = counts.window;
    if (!isJump && elapsedWindows > 0) {
        const double distanceBeyondNoise
            = std::max(0.0, totalVariationDistance(previousTokens, layer.tokens) - samplingNoise(layer.tokens));
        const double distancePerSecond = distanceBeyondNoise
            / (static_cast<double>(elapsedWindows) * std::chrono::duration<double>(m_settings.windowLength).count());
        layer.driftPerSecond += (distancePerSecond - layer.driftPerSecond) / (4 * m_settings.halfLifeWindows);
    }
}

bool popularity_estimator::isSuspectedJump(const layer_history &layer, const load_window &counts) const
{
    if (layer.weight <= 0) {
        return false;
    }
    const auto windowTokens = toDoubles(counts.tokens);
    return totalVariationDistance(layer.tokens, windowTokens)
        > std::max(m_settings.minJumpDistance, m_settings.jumpNoiseFactor * samplingNoise(windowTokens));
}

void popularity_estimator::decay(layer_history &layer, std::uint64_t windows) const
{
    const double factor = std::exp2(-static_cast<double>(windows) / m_settings.halfLifeWindows);
    for (double &tokens : layer.tokens) {
        tokens *= factor;
    }
    layer.weight *= factor;
}

std::vector<layer_load> popularity_estimator::estimate() const
{
    std::vector<layer_load> result;
    const double seconds = std::chrono::duration<double>(m_settings.windowLength).count();
    for (const auto &layer : m_layers) {
        layer_load load { layer.tokens, layer.driftPerSecond, layer.weight * seconds };
        for (double &tokens : load.tokensPerSecond) {
            tokens = layer.weight > 0 ? tokens / (layer.weight * seconds) : 0;
        }
        result.push_back(std::move(load));
    }
    return result;
}

std::uint64_t popularity_estimator::jumpCount() const
{
    return m_jumpCount;
}

} // namespace figcleat::group
