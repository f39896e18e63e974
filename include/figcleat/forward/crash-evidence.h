#pragma once

#include "figcleat/forward/quarantine-messages.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace figcleat::forward
{

/** An attempt that ended before its request was found to be sound; its target may have crashed. */
struct attempt_failure
{
    target_incarnation target;
    std::vector<prompt_part_id> parts;
    /** As of `crash_report`. */
    bool isAtStart = false;
    /** As of `crash_report`. */
    duration stalled {};
};

/** A set of prompt parts of which one crashes targets, and the crashes that show it. */
struct crash_cause
{
    /** More than one part if the crashes do not tell which of them it is. */
    std::set<prompt_part_id> parts;
    std::vector<crash_witness> witnesses;
};

/**
 * Finds the shared parts of prompts whose requests crash targets.
 *
 * A request is sound once its target has written an answer to it for `proofTime`. A target that crashes before that may
 * have crashed because of the request, or for any other reason while the request was at it. A part is the cause if each
 * request with it ends that way: several separate crashes, and no sound request since the first of them. A part that
 * has been sound before needs more crashes, and enough sound requests with other parts meanwhile, so that the crashes
 * are out of proportion to its share of the requests.
 *
 * No front sees enough crashes by itself, so fronts send each other their reports. Merging is idempotent and does not
 * depend on the order of messages. The class reads no clock and does no I/O.
 */
class crash_evidence
{
public:
    /** Time for which a target writes an answer before its request counts as sound. */
    static constexpr duration proofTime = std::chrono::milliseconds(100);
    /** A failure is a crash only if its target is found to be down within this time. */
    static constexpr duration confirmationPeriod = std::chrono::seconds(1);
    /** Crashes within this time have one cause, such as a loss of power. */
    static constexpr duration sameCauseWindow = std::chrono::milliseconds(150);
    /** After a longer stall the group of the target was broken before, so that none of its requests was the cause. */
    static constexpr duration maxStall = std::chrono::milliseconds(700);
    /** A group that was broken by one crash has refused or cut all its requests after this time. */
    static constexpr duration stallWindow = std::chrono::seconds(2);
    static constexpr duration reportLifetime = std::chrono::seconds(60);
    /** What other fronts tell about older sound requests is ignored. */
    static constexpr duration soundLifetime = std::chrono::seconds(120);
    /**
     * Crashes that convict a part that is not known to be sound, if they are at least half of all recent crashes. One
     * is enough if it came at the start of the answer: a crash with another cause hardly ever comes just then.
     */
    static constexpr std::size_t crashesToConvict = 3;
    /** Crashes that convict a part whatever other crashes there are. */
    static constexpr std::size_t crashesToConvictAnyway = 4;
    /** A part that was sound before needs as many, and so many sound requests without it at this front meanwhile. */
    static constexpr std::uint64_t soundToConvictKnown = 50;
    static constexpr std::size_t maxReports = 64;
    static constexpr std::size_t maxPartsPerReport = 32;
    /** Parts known to be sound; about 100 bytes each. */
    static constexpr std::size_t maxSoundParts = 4096;

    crash_evidence(peer_address self, incarnation_id incarnation);

    void recordFailure(const attempt_failure &failure, time_point now);
    /** Records that a target is down: recent failures there are crashes. */
    void recordDown(const target_incarnation &target, time_point now);
    /** Records that a target still accepts connections: failures there are no crashes. */
    void recordUp(const target_incarnation &target);
    void recordSound(const std::vector<prompt_part_id> &parts, time_point now);

    void merge(const std::vector<crash_report> &reports, const std::vector<sound_part> &sound, time_point now);
    [[nodiscard]] std::vector<crash_report> reports(time_point now) const;
    /** Returns the parts of reports that are known to be sound. */
    [[nodiscard]] std::vector<sound_part> soundParts(time_point now) const;
    /** Removes expired reports. */
    void tick(time_point now);

    /** True if requests with the part may have crashed a target and none has been sound before or since. */
    [[nodiscard]] bool isSuspect(const prompt_part_id &part) const;
    [[nodiscard]] bool hasSuspects() const;
    /** Returns the causes of crashes that are certain enough to refuse requests. */
    [[nodiscard]] std::vector<crash_cause> causes() const;
    /** True if the evidence has changed since the last call. */
    [[nodiscard]] bool takeChanged();
    [[nodiscard]] bool hasChanged() const;
    /** True if this front has learned something since the last call that other fronts may not know. */
    [[nodiscard]] bool takeNews();
    /** True if it is not known yet whether a failure at this incarnation of a target was a crash. */
    [[nodiscard]] bool isPending(const target_incarnation &target) const;
    /** Crashes that are known, for metrics. */
    [[nodiscard]] std::size_t crashCount() const;

private:
    struct stored_report
    {
        crash_report report;
        time_point at {};
        /** False until the target is found to be down; other fronts get confirmed reports only. */
        bool isConfirmed = false;
        /** Sound requests at this front when the report arrived. */
        std::uint64_t soundCount = 0;
    };

    /** Earliest report of each crashed target. */
    using crashes_by_target = std::map<std::pair<target_id, std::int64_t>, const stored_report *>;

    /** Crashes with a part since its last sound request. */
    struct part_crashes
    {
        crashes_by_target byTarget;
        /** Reports with the part, those that are not confirmed included. */
        std::size_t reports = 0;
        /** Crashes that cannot have one cause. */
        std::size_t separate = 0;
        bool wasSound = false;
        bool hasCrashAtStart = false;
        std::uint64_t soundCount = 0;
    };

    void add(stored_report added);
    void addSound(const prompt_part_id &part, time_point at);
    void forgetOldSoundParts();
    void onChanged();
    void count(const stored_report &stored);
    static void addEarliest(crashes_by_target &crashes, const stored_report &stored);
    [[nodiscard]] static std::size_t countSeparate(const crashes_by_target &crashes);
    [[nodiscard]] bool isConvicted(const part_crashes &crashes) const;
    [[nodiscard]] static bool isIn(const prompt_part_id &part, const part_crashes &crashes);

    peer_address m_self;
    incarnation_id m_incarnation;
    std::uint64_t m_lastReport = 0;
    std::map<std::pair<incarnation_id, std::uint64_t>, stored_report> m_reports;
    /** Time of the last sound request with each part. */
    std::unordered_map<prompt_part_id, time_point> m_sound;
    std::uint64_t m_soundCount = 0;
    /** Derived from the above; holds the parts of reports only. */
    std::map<prompt_part_id, part_crashes> m_crashes;
    std::size_t m_allSeparate = 0;
    bool m_hasSuspects = false;
    bool m_hasChanged = false;
    bool m_hasNews = false;
};

} // namespace figcleat::forward
