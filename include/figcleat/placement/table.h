#pragma once

#include "figcleat/core/clock.h"
#include "figcleat/target/messages.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace figcleat::placement
{

struct table_settings
{
    /** Data centre of this entry. */
    data_centre_id local;
    /** A target or entry that was not heard for this long gets no work. */
    duration silentAfter = std::chrono::milliseconds(1500);
    /** A silent target or entry is forgotten, for example a VM that was removed. */
    duration forgetAfter = std::chrono::seconds(60);
    std::size_t maxTargets = 4'096;
    std::size_t maxEntries = 1'024;
};

/** What this entry believes of one target. */
struct known_target
{
    announce report;
    peer_address address;
    time_point heardAt;
    /** This entry's own work in progress there. */
    work_cost outstanding;
    /** The same when the last report arrived. */
    work_cost outstandingAtReport;
    /** The target refused work at its limit since the last report. */
    bool refusedSinceReport = false;
    bool silent = false;
};

/** A target that was lost, with the incarnation that attempts were sent to. */
struct lost_target
{
    target_id target;
    incarnation_id incarnation;
};

/** An entry of another data centre, which can place work on targets there. */
struct spill_entry
{
    peer_address address;
    data_centre_id dataCentre;
};

/** What a request needs of a target. */
struct placement_request
{
    service_id service;
    /** Empty if the service has no models. */
    model_id model;
    work_cost cost;
    /** Hash of the start of the prompt, which decides what an engine's cache holds. */
    std::uint64_t prefixHash = 0;
    /** Targets that have refused this request. */
    std::set<target_id> excluded;
    /** False for a request that another entry already passed on. */
    bool maySpill = true;
};

/** A target, or the rank 0 target of a group, that may get a request. */
struct candidate
{
    target_id target;
    peer_address address;
    incarnation_id incarnation;
    bool local = true;
    /** The least that any rank of the group takes. */
    work_cost limit;
    /** Limit less reported work, corrected by what this entry has begun and ended since. */
    work_cost spare;
    work_cost reported;
    /** This entry's own work, now and when the report arrived. */
    work_cost outstanding;
    work_cost outstandingAtReport;
    duration age {};
    /** Time between pieces of the slowest rank; 0 if unknown. */
    std::uint64_t pieceGapMicros = 0;
};

/**
 * Targets as their announcements describe them: hints, which cost time when they are wrong.
 *
 *     table.heard(announcement, from, now);
 *     const auto chosen = choose(table, request, policy, random, now);
 *     table.began(chosen->target, chosen->incarnation, cost);
 */
class table
{
public:
    explicit table(table_settings settings);

    /** Takes an announcement; returns the former incarnation if the target has a new one. */
    std::optional<lost_target> heard(const announce &report, const peer_address &from, time_point now);
    void heardEntry(const peer_address &from, const data_centre_id &dataCentre, time_point now);
    void setDataCentresOut(std::set<data_centre_id> out);
    /** This process heard nothing until `now`, so silence is measured from here on. */
    void resumeListening(time_point now);
    /** Targets that have become silent since the last call; forgets those that were silent for long. */
    std::vector<lost_target> expire(time_point now);

    /** Own work on a target. Calls for another incarnation than the known one are ignored. */
    void began(const target_id &target, incarnation_id incarnation, const work_cost &cost);
    void ended(const target_id &target, incarnation_id incarnation, const work_cost &cost);
    /** The target refused work at its limit. */
    void refused(const target_id &target, incarnation_id incarnation);

    [[nodiscard]] const known_target *find(const target_id &target) const;
    [[nodiscard]] const std::map<target_id, known_target> &all() const;
    /** Targets that may get the request, whether or not they have room for it. */
    [[nodiscard]] std::vector<candidate> candidates(const placement_request &request, time_point now) const;
    /** Entries of other data centres in service. */
    [[nodiscard]] std::vector<spill_entry> spillEntries(time_point now) const;

private:
    struct known_entry
    {
        data_centre_id dataCentre;
        time_point heardAt;
    };
    using target_map = std::map<target_id, known_target>;

    /** Time in which this process ran and did not hear the target. */
    [[nodiscard]] duration silenceOf(const known_target &known, time_point now) const;
    [[nodiscard]] bool isUsable(const known_target &known, time_point now) const;
    [[nodiscard]] std::optional<candidate> candidateFrom(const known_target &known, time_point now) const;
    [[nodiscard]] bool takeGroupInto(candidate &result, const known_target &first, time_point now) const;
    [[nodiscard]] bool isFormerIncarnation(const announce &report) const;
    known_target *findIncarnation(const target_id &target, incarnation_id incarnation);
    void forget(target_map::iterator found);
    void joinGroup(const announce &report);
    void leaveGroup(const announce &report);

    table_settings m_settings;
    time_point m_listeningSince {};
    target_map m_targets;
    std::map<std::pair<service_id, group_id>, std::set<target_id>> m_groups;
    std::map<target_id, std::deque<incarnation_id>> m_former;
    std::map<peer_address, known_entry> m_entries;
    std::set<data_centre_id> m_out;
};

/** How many requests of this cost fit into the spare capacity. */
[[nodiscard]] double headroom(const work_cost &spare, const work_cost &cost);

} // namespace figcleat::placement
