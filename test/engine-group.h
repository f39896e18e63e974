#pragma once

#include "figcleat/group/map-controller.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <vector>

/** Simulated engines of a group that run in lock-step, according to the platform's description. */
namespace figcleat::group::testing
{

constexpr rank_number ranks = 4;
constexpr std::size_t experts = 8;
constexpr std::size_t sets = 2;

inline group_model makeModel()
{
    group_model model;
    model.sets = sets;
    model.experts = experts;
    model.slotsPerRank = 4;
    model.spareSlotsPerRank = 2;
    model.bytesPerExpert = { 1000 };
    model.rankLoadBytesPerSecond = { 100'000 };
    model.expertShare = 0.85;
    return model;
}

/**
 * A rank according to the platform's description: it loads maps, is armed and holds steps on orders, some of which are
 * executed late.
 */
struct fake_rank
{
    engine_rank_status status;
    std::map<std::uint64_t, expert_lists> maps;
    std::uint64_t highestVersion = 0;
    /** Number of `load` calls until a map is loaded. */
    int loadingTicks = 0;
    int remainingLoadingTicks = 0;
    /**
     * False for engines that do not count orders about maps, so that the expected count never makes them refuse an
     * order.
     */
    bool countsOrders = true;

    /** Advances loading by a tick. A map that was replaced while it was loading is never reported as prepared. */
    void load()
    {
        if (remainingLoadingTicks > 0 && --remainingLoadingTicks == 0) {
            status.prepared = { highestVersion };
        }
    }

    [[nodiscard]] order_result carryOut(const rank_order &order, step_number groupStep)
    {
        if (order.epoch != status.epoch || order.expectedOrders != status.orders) {
            return order_result::refused;
        }
        switch (order.operation) {
        case rank_operation::prepare:
            if (order.version.value <= highestVersion || status.armed.value != 0) {
                return order_result::refused;
            }
            highestVersion = order.version.value;
            for (const auto &set : order.map) {
                maps[highestVersion].push_back(set[status.rank]);
            }
            status.prepared = loadingTicks == 0 ? order.version : map_version {};
            remainingLoadingTicks = loadingTicks;
            status.orders += countsOrders ? 1 : 0;
            return order_result::accepted;
        case rank_operation::arm:
            if (status.prepared != order.version || groupStep >= order.step) {
                return order_result::refused;
            }
            status.armed = order.version;
            status.armedStep = order.step;
            return order_result::accepted;
        case rank_operation::disarm:
            if (status.armed != order.version) {
                return order_result::refused;
            }
            status.armed = {};
            status.armedStep = {};
            return order_result::accepted;
        case rank_operation::hold:
            if (groupStep >= order.step || status.held.value != 0) {
                return order_result::refused;
            }
            status.held = order.step;
            return order_result::accepted;
        case rank_operation::go:
            if (status.held != order.step) {
                return order_result::refused;
            }
            status.held = {};
            return order_result::accepted;
        }
        return order_result::refused;
    }

    void beginStep(step_number step)
    {
        status.step = step;
        if (status.armed.value != 0 && step >= status.armedStep) {
            status.map = status.armed;
            status.experts = maps[status.map.value];
            status.armed = {};
            status.armedStep = {};
            status.prepared = {};
        }
    }
};

/** A group of ranks in lock-step. Two neighbouring experts are in demand, at first the first two. */
class fake_group
{
public:
    explicit fake_group(std::uint64_t seed)
        : m_random(seed)
    {
        for (rank_number rank = 0; rank < ranks; ++rank) {
            fake_rank member;
            member.status.group = { "g" };
            member.status.epoch = { 1 };
            member.status.rank = rank;
            member.status.ranks = ranks;
            member.status.isOpen = true;
            member.status.chosen = expert_lists(sets, std::vector<std::uint32_t>(experts, 0));
            for (std::size_t set = 0; set < sets; ++set) {
                member.status.experts.push_back({ rank, static_cast<std::uint32_t>(rank + ranks) });
            }
            m_ranks.push_back(std::move(member));
        }
    }

    /** Begins the next step unless a rank holds it, and requires that all ranks then use the same map. */
    void beginStep()
    {
        const step_number next = m_step.next();
        for (const auto &member : m_ranks) {
            if (member.status.held.value != 0 && next >= member.status.held) {
                return;
            }
        }
        m_step = next;
        for (auto &member : m_ranks) {
            member.beginStep(next);
            for (auto &set : member.status.chosen) {
                set[m_hotExpert] += 100;
                set[m_hotExpert + 1] += 10;
            }
        }
        for (const auto &member : m_ranks) {
            REQUIRE(member.status.map == m_ranks.front().status.map);
        }
    }

    void shiftDemand()
    {
        m_hotExpert = (m_hotExpert + 3) % (experts - 1);
    }

    [[nodiscard]] std::vector<fake_rank> &members()
    {
        return m_ranks;
    }

    [[nodiscard]] step_number currentStep() const
    {
        return m_step;
    }

    [[nodiscard]] bool isHeld() const
    {
        return std::any_of(m_ranks.begin(), m_ranks.end(),
                           [](const auto &member) { return member.status.held.value != 0; });
    }

    /** Ratio of the highest rank load to the mean rank load with the current demand. */
    [[nodiscard]] double skew() const
    {
        std::vector<double> loads(ranks, 0);
        for (const auto &[expert, weight] : { std::pair { m_hotExpert, 100.0 }, std::pair { m_hotExpert + 1, 10.0 } }) {
            std::vector<rank_number> holders;
            for (const auto &member : m_ranks) {
                const auto &loaded = member.status.experts.front();
                if (std::find(loaded.begin(), loaded.end(), expert) != loaded.end()) {
                    holders.push_back(member.status.rank);
                }
            }
            for (const auto rank : holders) {
                loads[rank] += weight / static_cast<double>(holders.size());
            }
        }
        return *std::max_element(loads.begin(), loads.end()) * ranks / 110.0;
    }

    std::mt19937_64 &random()
    {
        return m_random;
    }

private:
    std::mt19937_64 m_random;
    std::vector<fake_rank> m_ranks;
    step_number m_step;
    std::size_t m_hotExpert = 0;
};

} // namespace figcleat::group::testing
