#include "figcleat/group/report-relay.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace figcleat::group
{

namespace
{

/**
 * Limit of the reports and results that wait for the next message; each rank of a relay sends a few of them between two
 * messages.
 */
constexpr std::size_t maxMessages = 1024;
/**
 * The relay does not wait for a rank that has sent no choices for this long, as the rank reports to another relay or is
 * lost.
 */
constexpr duration reporterTimeout = std::chrono::milliseconds(600);

bool isSilentRank(const std::map<rank_number, bool> &silent, rank_number rank)
{
    const auto found = silent.find(rank);
    return found != silent.end() && found->second;
}

} // namespace

void addCounts(expert_lists &sums, const expert_lists &counts)
{
    if (sums.size() != counts.size()) {
        sums = counts;
        return;
    }
    for (std::size_t set = 0; set < counts.size(); ++set) {
        sums[set].resize(std::max(sums[set].size(), counts[set].size()), 0);
        for (std::size_t expert = 0; expert < counts[set].size(); ++expert) {
            sums[set][expert] += counts[set][expert];
        }
    }
}

packed_counts packCounts(const expert_lists &lists)
{
    constexpr std::uint32_t largestByte = 255;
    std::uint32_t largest = 0;
    for (const auto &set : lists) {
        largest = std::accumulate(set.begin(), set.end(), largest, [](auto a, auto b) { return std::max(a, b); });
    }
    packed_counts packed;
    packed.unit = largest / (largestByte + 1) + 1;
    packed.sets = static_cast<std::uint32_t>(lists.size());
    for (const auto &set : lists) {
        for (const auto count : set) {
            packed.counts.push_back(static_cast<std::uint8_t>(count / packed.unit));
        }
    }
    return packed;
}

expert_lists unpackCounts(const packed_counts &packed)
{
    if (packed.sets == 0 || packed.counts.size() % packed.sets != 0) {
        return {};
    }
    const auto experts = packed.counts.size() / packed.sets;
    expert_lists lists(packed.sets, std::vector<std::uint32_t>(experts));
    for (std::size_t set = 0; set < packed.sets; ++set) {
        for (std::size_t expert = 0; expert < experts; ++expert) {
            lists[set][expert] = packed.counts[set * experts + expert] * packed.unit;
        }
    }
    return lists;
}

void report_relay::add(rank_report report, time_point now)
{
    if (report.fence != m_fence) {
        m_fence = report.fence;
        m_choiceSum.clear();
        m_ranksInSum.clear();
        m_lastChoicesAt.clear();
    }
    const auto chosen = unpackCounts(report.chosen);
    report.chosen = {};
    if (!chosen.empty()) {
        m_sumStartedAt = m_ranksInSum.empty() ? now : m_sumStartedAt;
        addCounts(m_choiceSum, chosen);
        m_ranksInSum.insert(report.status.rank);
        m_lastChoicesAt[report.status.rank] = now;
    }
    if (m_messages.size() < maxMessages) {
        m_messages.emplace_back(std::move(report));
    }
}

void report_relay::add(const rank_result &result)
{
    if (m_messages.size() < maxMessages) {
        m_messages.emplace_back(result);
    }
}

std::optional<time_point> report_relay::choicesDue() const
{
    return m_ranksInSum.empty() ? std::nullopt : std::optional(m_sumStartedAt + maxCollectionTime);
}

bool report_relay::areChoicesDue(time_point now) const
{
    return !m_ranksInSum.empty()
        && (m_ranksInSum.size() >= m_lastChoicesAt.size() || now - m_sumStartedAt >= maxCollectionTime);
}

group_report report_relay::take(const group_id &group, fence_number fence, time_point now)
{
    group_report sent { group, fence, {}, {} };
    for (auto &message : std::exchange(m_messages, {})) {
        if (std::visit([fence](const auto &content) { return content.fence == fence; }, message)) {
            sent.messages.push_back(std::move(message));
        }
    }
    if (m_fence == fence && areChoicesDue(now)) {
        sent.chosen = packCounts(m_choiceSum);
        m_choiceSum.clear();
        m_ranksInSum.clear();
        std::erase_if(m_lastChoicesAt, [now](const auto &entry) { return now - entry.second >= reporterTimeout; });
    }
    return sent;
}

relay_plan planRelays(const std::vector<rank_contact> &contacts, const peer_address &controller,
                      const std::map<rank_number, bool> &isSilent)
{
    std::map<data_centre_id, std::vector<rank_contact>> byDataCentre;
    for (const auto &contact : contacts) {
        byDataCentre[contact.dataCentre].push_back(contact);
    }
    const auto perRelay = std::max<std::size_t>(
        1, static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(contacts.size())))));
    relay_plan plan;
    for (const auto &[dataCentre, members] : byDataCentre) {
        for (std::size_t begin = 0; begin < members.size(); begin += perRelay) {
            const auto first = members.begin() + static_cast<std::ptrdiff_t>(begin);
            const auto last = first + static_cast<std::ptrdiff_t>(std::min(perRelay, members.size() - begin));
            const bool hasController
                = std::any_of(first, last, [&](const auto &contact) { return contact.agent == controller; });
            const auto relay
                = std::find_if(first, last, [&](const auto &contact) { return !isSilentRank(isSilent, contact.rank); });
            const auto &receiver = hasController || relay == last ? controller : relay->agent;
            std::for_each(first, last, [&](const auto &contact) {
                plan[contact.rank] = isSilentRank(isSilent, contact.rank) ? controller : receiver;
            });
        }
    }
    return plan;
}

} // namespace figcleat::group
