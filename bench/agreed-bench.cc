#include "bench-main.h"
#include "figcleat/agreed/state.h"
#include "figcleat/wire/codec.h"

#include <cstdio>
#include <ctime>
#include <iostream>
#include <malloc.h>
#include <random>

using namespace figcleat;
using namespace figcleat::agreed;

namespace
{

using bench::arguments;

constexpr std::array commandNames { "submit_configuration", "set_data_centre", "claim_key",
                                    "settle_claim",         "release_claim",   "issue_fence",
                                    "record_usage",         "expire_claims",   "record_sign_off" };
static_assert(commandNames.size() == std::variant_size_v<command>);

struct counts
{
    std::map<std::string, std::uint64_t> commands;
    std::map<std::string, std::uint64_t> outcomes;
    std::uint64_t restores = 0;
    std::uint64_t replays = 0;
};

/** Random commands over few names, so that they meet each other often. */
class generator
{
public:
    explicit generator(std::uint64_t seed)
        : m_random(seed)
    {
    }

    std::uint64_t below(std::uint64_t bound)
    {
        return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(m_random);
    }

    command next()
    {
        const std::uint64_t kind = below(17);
        if (kind == 16) {
            return record_sign_off { { "target-" + std::to_string(below(600)) }, static_cast<std::int64_t>(below(4)) };
        }
        if (kind >= 12) {
            return claim();
        }
        return kind < 8 ? rare(kind) : end();
    }

    /** Keeps the fences that were handed out, for later settlements and releases. */
    void learn(const command &what, const outcome &result)
    {
        if (const auto *claimed = std::get_if<claim_key>(&what); claimed && result.status == claim_status::granted) {
            m_granted.push_back({ claimed->key, result.fence });
        }
    }

private:
    command claim()
    {
        return claim_key { key(),
                           sha256(below(12) == 0 ? "other" : "call"),
                           { "clinics" },
                           { "returns-desk" },
                           { "desk" },
                           { below(3) + 1 },
                           { { below(4) + 1 }, { ++m_attempt } },
                           time() };
    }

    command end()
    {
        release_claim held { key(), { below(50) } };
        if (!m_granted.empty()) {
            held = m_granted[m_granted.size() - 1 - below(std::min<std::uint64_t>(m_granted.size(), 6))];
        }
        if (below(3) == 0) {
            return held;
        }
        const std::string answer(below(8) == 0 ? 9000 : below(20), 'a');
        const result_code code = below(6) == 0 ? result_code::outcome_unknown : result_code::ok;
        return settle_claim { held.key, held.fence, code, 200, answer, sha256(answer) };
    }

    command rare(std::uint64_t kind)
    {
        switch (kind) {
        case 0:
        case 1:
            return submit_configuration { below(4) + m_number++ / 4, std::to_string(below(3)), { dataCentre() } };
        case 2:
            return set_data_centre { dataCentre(), below(2) == 0 };
        case 3:
            return issue_fence { std::to_string(below(6)), std::to_string(below(3)) };
        case 4:
            return expire_claims { time() };
        default:
            return record_usage { { below(5) + 1 },
                                  below(200),
                                  { { { std::to_string(below(3)) }, { "s" }, { 1 }, { 2 }, { 3 } } } };
        }
    }

    digest key()
    {
        return sha256(std::to_string(below(8)));
    }
    data_centre_id dataCentre()
    {
        return { std::string(1, static_cast<char>('a' + below(3))) };
    }
    std::int64_t time()
    {
        m_nowMs += static_cast<std::int64_t>(below(20) == 0 ? claim_table::lifeMs / 2 : 1000);
        return m_nowMs - static_cast<std::int64_t>(below(5000));
    }

    std::mt19937_64 m_random;
    std::vector<release_claim> m_granted;
    std::uint64_t m_attempt = 0;
    std::uint64_t m_number = 0;
    std::int64_t m_nowMs = 0;
};

/** Grants as a caller sees them, to find one that overlaps another. */
class grant_check
{
public:
    bool observe(const command &what, const outcome &result, std::int64_t nowMs)
    {
        if (const auto *freed = std::get_if<release_claim>(&what); freed && result.code == result_code::ok) {
            m_granted.erase(freed->key);
        }
        if (const auto *claimed = std::get_if<claim_key>(&what); claimed && result.status == claim_status::granted) {
            const auto [at, isNew] = m_granted.try_emplace(claimed->key, nowMs);
            const bool allowed = isNew || nowMs - at->second >= claim_table::lifeMs;
            at->second = nowMs;
            return allowed;
        }
        return true;
    }

private:
    std::map<digest, std::int64_t> m_granted;
};

std::string runOnce(std::uint64_t seed, counts &total)
{
    generator source(seed);
    grant_check grants;
    state live;
    std::vector<command> log;
    std::vector<outcome> answers;
    const std::uint64_t length = 50 + source.below(350);
    while (log.size() < length) {
        log.push_back(source.next());
        answers.push_back(live.apply({ log.size() }, log.back()));
        source.learn(log.back(), answers.back());
        ++total.commands[commandNames.at(log.back().index())];
        ++total.outcomes[std::string(describe(answers.back().code).name)];
        if (!grants.observe(log.back(), answers.back(), live.nowMs())) {
            return "a key was granted twice";
        }
        if (source.below(40) == 0) {
            auto restored = state::restore(live.snapshot());
            if (!restored || restored->snapshot() != live.snapshot()) {
                return "a restored copy differs";
            }
            live = std::move(*restored);
            ++total.restores;
        }
    }
    state second;
    const std::size_t prefix = source.below(length);
    for (std::size_t i = 0; i < length; ++i) {
        if (i == prefix) {
            second = std::move(*state::restore(second.snapshot()));
        }
        if (second.apply({ i + 1 }, log[i]) != answers[i]) {
            return "a replayed command got another answer";
        }
    }
    ++total.replays;
    return second.snapshot() == live.snapshot() ? "" : "a replayed copy differs";
}

int soak(const arguments &options)
{
    counts total;
    for (std::uint64_t run = 0; run < options.runs; ++run) {
        const std::string problem = runOnce(options.seed * 1'000'003 + run, total);
        if (!problem.empty()) {
            std::cout << "agreed soak: FAILED, seed " << options.seed << " run " << run << ": " << problem << '\n';
            return 1;
        }
    }
    std::cout << "agreed soak: seed " << options.seed << ", runs " << options.runs << ", restores " << total.restores
              << ", replays " << total.replays << '\n';
    for (const auto &[name, count] : total.commands) {
        std::cout << "  command " << name << ' ' << count << '\n';
    }
    for (const auto &[name, count] : total.outcomes) {
        std::cout << "  outcome " << name << ' ' << count << '\n';
    }
    return 0;
}

double processorSeconds()
{
    timespec used {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) * 1e-9;
}

std::size_t allocatedBytes()
{
    return mallinfo2().uordblks;
}

claim_key claimNumber(std::uint64_t i)
{
    return { sha256(std::to_string(i)),
             sha256("call " + std::to_string(i)),
             { "workspace-" + std::to_string(i % 230) },
             { "returns-desk" },
             { "windhoek-north-target-" + std::to_string(i % 600) },
             { 0x1234'5678'9abc'def0 + i % 600 },
             { { 0xfedc'ba98'7654'3210 + i % 360 }, { i } },
             1'764'800'000'000 + static_cast<std::int64_t>(i) };
}

/** Applies the commands and prints processor time and encoded size of each. */
void timeCommands(const std::string &name, state &copy, std::uint64_t &index, const std::vector<command> &commands)
{
    std::size_t bytes = 0;
    for (const command &what : commands) {
        bytes += encode(what).size();
    }
    const double before = processorSeconds();
    for (const command &what : commands) {
        static_cast<void>(copy.apply({ ++index }, what));
    }
    const double micros = (processorSeconds() - before) * 1e6;
    std::printf("  %-44s %8.2f us %8zu bytes\n", name.c_str(), micros / static_cast<double>(commands.size()),
                bytes / commands.size());
}

void measureSnapshot(std::uint64_t claims, std::size_t answerBytes)
{
    state copy;
    std::uint64_t index = 0;
    const std::size_t before = allocatedBytes();
    for (std::uint64_t i = 0; i < claims; ++i) {
        const claim_key request = claimNumber(i);
        const fence_number fence = copy.apply({ ++index }, request).fence;
        if (answerBytes != 0) {
            const std::string answer(answerBytes, 'a');
            static_cast<void>(
                copy.apply({ ++index }, settle_claim { request.key, fence, result_code::ok, 200, answer, {} }));
        }
    }
    const std::size_t held = allocatedBytes() - before;
    const double start = processorSeconds();
    const std::string bytes = copy.snapshot();
    const double written = processorSeconds();
    const bool same = state::restore(bytes).has_value();
    const double read = processorSeconds();
    std::printf("  %7llu claims, answers of %4zu bytes: %6.1f bytes/claim in memory, snapshot %10zu bytes, "
                "write %7.2f ms, restore %7.2f ms%s\n",
                static_cast<unsigned long long>(claims), answerBytes,
                static_cast<double>(held) / static_cast<double>(claims), bytes.size(), (written - start) * 1e3,
                (read - written) * 1e3, same ? "" : " FAILED");
}

int measure(const arguments &options)
{
    std::printf("agreed measure, seed %llu: processor time and encoded size of a command\n",
                static_cast<unsigned long long>(options.seed));
    state copy;
    std::uint64_t index = 0;
    std::vector<command> files;
    std::vector<command> claims;
    std::vector<command> settlements;
    std::vector<command> fences;
    std::vector<command> batches;
    for (std::uint64_t i = 0; i < 1000; ++i) {
        files.emplace_back(submit_configuration { i + 1, std::string(46'000, 'f') });
    }
    std::mt19937_64 random(options.seed);
    for (std::uint64_t i = 0; i < 20'000; ++i) {
        const claim_key request = claimNumber(i);
        claims.emplace_back(request);
        const std::string answer(512, 'a');
        settlements.emplace_back(
            settle_claim { request.key, { files.size() + i + 1 }, result_code::ok, 200, answer, sha256(answer) });
        fences.emplace_back(issue_fence { "group/" + std::to_string(random() % 50), "windhoek-north-1" });
        record_usage batch { { random() % 360 + 1 }, i, {} };
        for (int row = 0; row < 10; ++row) {
            batch.rows.push_back(
                { { "workspace-" + std::to_string(random() % 230) }, { "assistant-models" }, { 1 }, { 200 }, { 300 } });
        }
        batches.emplace_back(batch);
    }
    timeCommands("submit_configuration (46,000 bytes)", copy, index, files);
    timeCommands("claim_key", copy, index, claims);
    timeCommands("settle_claim (answer of 512 bytes)", copy, index, settlements);
    timeCommands("issue_fence", copy, index, fences);
    timeCommands("record_usage (10 rows)", copy, index, batches);
    timeCommands("expire_claims (20,000 claims)", copy, index, { expire_claims { 1'764'900'000'000 } });
    for (const std::size_t answerBytes : { 0, 256 }) {
        for (const std::uint64_t count : { 1'000, 20'000, 200'000 }) {
            measureSnapshot(count, answerBytes);
        }
    }
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    return bench::run(argc, argv, "agreed-bench", { { "soak", soak }, { "measure", measure } });
}
