#pragma once

#include "figcleat/group/map-controller.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <vector>

/** Engines of a group in lock-step, as the platform describes them. */
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

/** A rank as the platform describes it: it loads, arms and holds on orders, some of them carried out late. */
struct fake_rank
{
    engine_rank_status status;
    std::map<std::uint64_t, expert_lists> maps;
    std::uint64_t highestVersion = 0;
    /** Calls of `load` that loading takes. */
    int loadingTicks = 0;
    int loadingLeft = 0;
    /** False for engines whose count of orders leaves out those about maps, so that no expected count keeps any out. */
    bool countsOrders = true;

    /** Loads on; a map that has been replaced is never prepared. */
    void load()
    {
        if (loadingLeft > 0 && --loadingLeft == 0) {
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
            loadingLeft = loadingTicks;
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

    void begin(step_number step)
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

/** A group of ranks in lock-step, whose first experts are in demand. */
class fake_group
{
public:
    explicit fake_group(std::uint64_t seed)
        : m_random(seed)
    {
        for (rank_number rank = 0; rank < ranks; ++rank) {
            fake_rank one;
            one.status.group = { "g" };
            one.status.epoch = { 1 };
            one.status.rank = rank;
            one.status.ranks = ranks;
            one.status.isOpen = true;
            one.status.chosen = expert_lists(sets, std::vector<std::uint32_t>(experts, 0));
            for (std::size_t set = 0; set < sets; ++set) {
                one.status.experts.push_back({ rank, static_cast<std::uint32_t>(rank + ranks) });
            }
            m_ranks.push_back(std::move(one));
        }
    }

    /** Begins the next step if no rank holds it; every rank must then use one map. */
    void beginStep()
    {
        const step_number next = m_step.next();
        for (const auto &one : m_ranks) {
            if (one.status.held.value != 0 && next >= one.status.held) {
                return;
            }
        }
        m_step = next;
        for (auto &one : m_ranks) {
            one.begin(next);
            for (auto &set : one.status.chosen) {
                set[m_hot] += 100;
                set[m_hot + 1] += 10;
            }
        }
        for (const auto &one : m_ranks) {
            REQUIRE(one.status.map == m_ranks.front().status.map);
        }
    }

    void shiftDemand()
    {
        m_hot = (m_hot + 3) % (experts - 1);
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
        return std::any_of(m_ranks.begin(), m_ranks.end(), [](const auto &one) { return one.status.held.value != 0; });
    }

    /** Load of the busiest rank over the mean with the demand of now. */
    [[nodiscard]] double skew() const
    {
        std::vector<double> loads(ranks, 0);
        for (const auto &[expert, weight] : { std::pair { m_hot, 100.0 }, std::pair { m_hot + 1, 10.0 } }) {
            std::vector<rank_number> holders;
            for (const auto &one : m_ranks) {
                const auto &held = one.status.experts.front();
                if (std::find(held.begin(), held.end(), expert) != held.end()) {
                    holders.push_back(one.status.rank);
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
    std::size_t m_hot = 0;
};

} // namespace figcleat::group::testing
