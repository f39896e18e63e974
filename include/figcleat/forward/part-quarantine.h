#pragma once

#include "figcleat/forward/crash-evidence.h"

#include <variant>

namespace figcleat::forward
{

// Verdicts on a request.

/** The request may go to any target. */
struct admit_request
{
};

/** A part of the request is suspected to crash targets, so all fronts send such requests to the same target. */
struct confine_request
{
    prompt_part_id part;
};

/** The request would probably crash its target. */
struct reject_request
{
    /** Time until the next trial, when the refusal may end. */
    milliseconds retryAfter { 0 };
};

/** The request shows whether its parts still crash targets; it is confined as well. */
struct try_request
{
    prompt_part_id part;
};

using quarantine_verdict = std::variant<admit_request, confine_request, reject_request, try_request>;

enum class quarantine_change : std::uint8_t {
    started,
    trial,
    released,
};

/** A change of the quarantine, for logs. */
struct quarantine_note
{
    quarantine_change change = quarantine_change::started;
    quarantine_record record;
};

/** State of one quarantine, for operators. */
struct quarantine_status
{
    quarantine_record record;
    /** Requests that this front has refused. */
    std::uint64_t rejected = 0;
};

/**
 * Refuses requests whose prompts contain parts that crash targets, until a trial shows that they no longer do.
 *
 * Each front decides by itself on the evidence of all fronts, so a front or data centre that is cut off still decides.
 * A quarantine is tested by one request of one front at a time: a front claims the trial, and runs it with a later
 * request if no other front has claimed it meanwhile. The time between trials doubles with each one that fails.
 *
 * The class reads no clock and does no I/O.
 */
class part_quarantine
{
public:
    /** Time from the start of a quarantine to its first trial; longer than a group takes to form again. */
    static constexpr duration firstTrialDelay = std::chrono::seconds(30);
    static constexpr duration maxTrialDelay = std::chrono::minutes(10);
    /** A claim has reached all connected fronts by then. */
    static constexpr duration claimDelay = std::chrono::milliseconds(500);
    /** A claim lapses if its front has received no matching request by then. */
    static constexpr duration claimLifetime = std::chrono::seconds(10);
    /** A quarantine without any matching request, and so without a trial, ends after this time. */
    static constexpr duration idleLifetime = std::chrono::hours(1);
    /** Released entries are kept, so that an old message does not restore them. */
    static constexpr duration releasedLifetime = std::chrono::minutes(2);
    static constexpr std::size_t maxRecords = 32;
    static constexpr std::size_t maxWitnesses = 8;

    part_quarantine(peer_address self, incarnation_id incarnation);

    /** Decides on a request. A `try_request` verdict starts the trial. */
    [[nodiscard]] quarantine_verdict review(const std::vector<prompt_part_id> &parts, time_point now);
    /** True if `review` would reject the request; starts no trial. */
    [[nodiscard]] bool isRejected(const std::vector<prompt_part_id> &parts) const;
    /** True if a part of the request is suspected to crash targets. */
    [[nodiscard]] bool isSuspect(const std::vector<prompt_part_id> &parts) const;

    void onFailure(const attempt_failure &failure, time_point now);
    void onTargetDown(const target_incarnation &target, time_point now);
    void onTargetUp(const target_incarnation &target, time_point now);
    /** Called once the request has been answered for `crash_evidence::proofTime`, or in full. */
    void onSound(const std::vector<prompt_part_id> &parts, time_point now);
    void tick(time_point now);

    /** Refuses requests with this part until `release`; there are no trials. */
    [[nodiscard]] expected<void> quarantine(const prompt_part_id &part, time_point now);
    /** Ends all quarantines that contain the part; `not_found` if there is none. */
    [[nodiscard]] expected<void> release(const prompt_part_id &part, time_point now);

    void merge(const quarantine_update &update, time_point now);
    [[nodiscard]] quarantine_update update(time_point now) const;
    /**
     * True if there is something new to tell since the last call.
     *
     * @param includeMerged what other fronts have told counts as well, for fronts that relay it
     */
    [[nodiscard]] bool takeNews(bool includeMerged);
    [[nodiscard]] bool isEmpty() const;

    [[nodiscard]] std::vector<quarantine_status> status(time_point now) const;
    [[nodiscard]] std::vector<quarantine_note> takeNotes();
    [[nodiscard]] const crash_evidence &evidence() const;

private:
    using part_set = std::set<prompt_part_id>;

    struct entry
    {
        quarantine_record record;
        time_point since {};
        time_point changedAt {};
        time_point nextTrial {};
        std::uint64_t rejected = 0;
    };

    [[nodiscard]] std::vector<entry *> matching(const std::vector<prompt_part_id> &parts);
    [[nodiscard]] static bool isTrialDue(const entry &one, time_point now);
    /** True if this front may run the trial now; claims it if no front has. */
    [[nodiscard]] bool claimTrial(entry &one, time_point now);
    void startTrial(entry &one, time_point now);
    void releaseEntry(entry &one, time_point now);
    /** Releases quarantines that contain these parts and others; they began when the cause was less certain. */
    void releaseCovered(const part_set &parts, time_point now);
    void applyEvidence(time_point now);
    /** True if another quarantine refuses all requests that one of these parts refuses. */
    [[nodiscard]] bool isCovered(const part_set &parts) const;
    /** Returns the entry for the parts; null if there is no room for another one. */
    [[nodiscard]] entry *entryFor(const part_set &parts);
    void start(entry &one, quarantine_origin origin, time_point now);
    void mergeRecord(const quarantine_record &incoming, time_point now);
    [[nodiscard]] static quarantine_record describe(const entry &one, time_point now);
    void note(quarantine_change change, const entry &one, time_point now);

    peer_address m_self;
    crash_evidence m_evidence;
    std::map<part_set, entry> m_entries;
    bool m_hasNews = false;
    bool m_hasMerged = false;
    std::vector<quarantine_note> m_notes;
};

} // namespace figcleat::forward
