#include "figcleat/agreed/state.h"

#include "figcleat/core/invariant.h"

#include <algorithm>

namespace figcleat::agreed
{

namespace
{

constexpr std::uint32_t snapshotVersion = 2;
/** The version before sign-offs were recorded. */
constexpr std::uint32_t firstSnapshotVersion = 1;

outcome nameTooLong()
{
    return { .code = result_code::malformed_request,
             .detail = "a name exceeds " + std::to_string(state::maxNameBytes) + " bytes" };
}

bool fits(const std::string &name)
{
    return name.size() <= state::maxNameBytes;
}

} // namespace

outcome state::apply(log_index index, const command &what)
{
    ensure(index > m_applied, result_code::invariant_committed_entry, "a log entry is applied twice or out of order");
    m_applied = index;
    return std::visit([this](const auto &held) { return run(held); }, what);
}

outcome state::run(const submit_configuration &what)
{
    return m_configurations.submit(what, m_applied);
}

outcome state::run(const set_data_centre &what)
{
    return fits(what.dataCentre.value) ? m_configurations.set(what, m_applied) : nameTooLong();
}

outcome state::run(const claim_key &what)
{
    if (!fits(what.workspace.value) || !fits(what.service.value) || !fits(what.target.value)) {
        return nameTooLong();
    }
    advanceTime(what.nowMs);
    outcome result = m_claims.claim(what, { m_applied.value }, m_nowMs);
    if (result.status == claim_status::granted) {
        ensure(result.fence == newFence(), result_code::invariant_fence_unique, "a claim has a fence of its own");
    }
    return result;
}

outcome state::run(const settle_claim &what)
{
    return m_claims.settle(what);
}

outcome state::run(const release_claim &what)
{
    return m_claims.release(what);
}

outcome state::run(const issue_fence &what)
{
    if (!fits(what.subject) || !fits(what.holder)) {
        return nameTooLong();
    }
    return m_fences.issue(what, newFence());
}

outcome state::run(const record_usage &what)
{
    const bool allFit = std::ranges::all_of(
        what.rows, [](const usage_row &row) { return fits(row.workspace.value) && fits(row.service.value); });
    return allFit ? m_usage.record(what, m_applied) : nameTooLong();
}

outcome state::run(const expire_claims &what)
{
    advanceTime(what.nowMs);
    const std::size_t dropped = m_claims.expire(m_nowMs);
    return { .detail = std::to_string(dropped) + " claims expired" };
}

outcome state::run(const record_sign_off &what)
{
    return fits(what.target.value) ? m_signOffs.record(what, m_applied) : nameTooLong();
}

fence_number state::newFence()
{
    ensure(m_applied.value > m_lastFence.value, result_code::invariant_fence_unique, "a fence is handed out twice");
    m_lastFence = { m_applied.value };
    return m_lastFence;
}

void state::advanceTime(std::int64_t nowMs)
{
    m_nowMs = std::max(m_nowMs, nowMs);
}

std::string state::snapshot() const
{
    snapshot_writer out;
    out.put(snapshotVersion);
    out.put(m_applied);
    out.put(m_lastFence);
    out.put(m_nowMs);
    m_configurations.write(out);
    m_claims.write(out);
    m_fences.write(out);
    m_usage.write(out);
    m_signOffs.write(out);
    return out.take();
}

expected<state> state::restore(std::string_view bytes)
{
    try {
        snapshot_reader in(bytes);
        const auto version = in.take<std::uint32_t>();
        if (version < firstSnapshotVersion || version > snapshotVersion) {
            return fail(result_code::unsupported_version, "snapshot version " + std::to_string(version));
        }
        state restored;
        restored.m_applied = in.take<log_index>();
        restored.m_lastFence = in.take<fence_number>();
        restored.m_nowMs = in.take<std::int64_t>();
        restored.m_configurations.read(in);
        restored.m_claims.read(in);
        restored.m_fences.read(in);
        restored.m_usage.read(in);
        if (version > firstSnapshotVersion) {
            restored.m_signOffs.read(in);
        }
        in.require(in.atEnd() && restored.m_lastFence.value <= restored.m_applied.value
                   && restored.configuration().revision.value <= restored.m_applied.value);
        return restored;
    } catch (const std::exception &problem) {
        return fail(result_code::log_damaged, std::string("the snapshot cannot be read: ") + problem.what());
    }
}

log_index state::lastApplied() const
{
    return m_applied;
}

std::int64_t state::nowMs() const
{
    return m_nowMs;
}

const configuration_in_force &state::configuration() const
{
    return m_configurations.inForce();
}

std::optional<claim_record> state::claim(const digest &key) const
{
    return m_claims.find(key);
}

std::size_t state::claimCount() const
{
    return m_claims.size();
}

std::size_t state::answerBytes() const
{
    return m_claims.answerBytes();
}

std::optional<fence_holder> state::fence(const std::string &subject) const
{
    return m_fences.find(subject);
}

std::vector<usage_row> state::usageTotals() const
{
    return m_usage.totals();
}

const sign_off_table &state::signOffs() const
{
    return m_signOffs;
}

} // namespace figcleat::agreed
