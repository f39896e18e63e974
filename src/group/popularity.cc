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
    // The mean absolute deviation of a Poisson count is sqrt(2 / pi) of its standard deviation.
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
    const bool tooOld = counts.window + m_settings.windowsKept <= layer.newest;
    if (tooOld || std::find(layer.seen.begin(), layer.seen.end(), counts.window) != layer.seen.end()) {
        return result_code::map_stale;
    }
    layer.seen.push_back(counts.window);
    if (layer.seen.size() > m_settings.windowsKept) {
        layer.seen.pop_front();
    }
    if (counts.window >= layer.newest) {
        addInTime(layer, counts);
        return result_code::ok;
    }
    const double weight = std::exp2(-static_cast<double>(layer.newest - counts.window) / m_settings.halfLifeWindows);
    for (std::size_t expert = 0; expert < layer.tokens.size(); ++expert) {
        layer.tokens[expert] += weight * counts.tokens[expert];
    }
    layer.weight += weight;
    return result_code::ok;
}

void popularity_estimator::addInTime(layer_history &layer, const load_window &counts)
{
    const auto elapsed = counts.window - layer.newest;
    const auto fresh = toDoubles(counts.tokens);
    const bool jump = looksLikeJump(layer, counts);
    const bool confirmed = jump && !layer.suspect.empty()
        && totalVariationDistance(layer.suspect, fresh) < totalVariationDistance(layer.tokens, fresh) / 2;
    if (confirmed) {
        ++m_jumps;
        layer.tokens = layer.suspect;
        layer.weight = 1;
        layer.drift = 0;
        layer.newest = layer.suspectWindow;
    }
    age(layer, counts.window - layer.newest);
    const auto before = layer.tokens;
    for (std::size_t expert = 0; expert < layer.tokens.size(); ++expert) {
        layer.tokens[expert] += fresh[expert];
    }
    layer.weight += 1;
    layer.newest = counts.window;
    layer.suspect = jump && !confirmed ? fresh : std::vector<double> {};
    layer.suspectWindow = counts.window;
    if (!jump && elapsed > 0) {
        const double moved = std::max(0.0, totalVariationDistance(before, layer.tokens) - samplingNoise(layer.tokens));
        const double perSecond
            = moved / (static_cast<double>(elapsed) * std::chrono::duration<double>(m_settings.windowLength).count());
        layer.drift += (perSecond - layer.drift) / (4 * m_settings.halfLifeWindows);
    }
}

bool popularity_estimator::looksLikeJump(const layer_history &layer, const load_window &counts) const
{
    if (layer.weight <= 0) {
        return false;
    }
    const auto fresh = toDoubles(counts.tokens);
    return totalVariationDistance(layer.tokens, fresh)
        > std::max(m_settings.jumpFloor, m_settings.jumpNoise * samplingNoise(fresh));
}

void popularity_estimator::age(layer_history &layer, std::uint64_t windows) const
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
        layer_load load { layer.tokens, layer.drift, layer.weight * seconds };
        for (double &tokens : load.tokensPerSecond) {
            tokens = layer.weight > 0 ? tokens / (layer.weight * seconds) : 0;
        }
        result.push_back(std::move(load));
    }
    return result;
}

std::uint64_t popularity_estimator::jumpCount() const
{
    return m_jumps;
}

} // namespace figcleat::group
