#include "figcleat/report/burn.h"
#include "figcleat/report/render.h"
#include "figcleat/wire/codec.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace figcleat;
using namespace figcleat::report;
using namespace std::chrono_literals;

namespace
{

// Any start that is not at the beginning of a window.
constexpr time_point start { 1000h + 17s };

sample makeSample(const std::string &workspace, bool inTime)
{
    return { { "chat" }, { workspace }, inTime ? 2s : 40s, inTime ? 100ms : 2s, true, {} };
}

service_level_recorder makeRecorder(std::uint64_t incarnation, recorder_limits limits = {})
{
    return { { "entry" }, { incarnation }, limits };
}

configuration makeConfiguration(const std::string &name = "chat")
{
    configuration config;
    config.services.push_back({ { name }, service_kind::model, { { "fig-7b" } }, {}, {} });
    return config;
}

merged_levels mergeOne(service_level_recorder &recorder, time_point now)
{
    summary_merger merger;
    REQUIRE(merger.accept(recorder.summarise(now), now).value());
    return merger.merged(now);
}

burn_report burnOf(service_level_recorder &recorder, time_point now, const configuration &config = makeConfiguration())
{
    return burn(mergeOne(recorder, now), config, wall_time {});
}

std::uint64_t requestsIn(const merged_levels &levels)
{
    std::uint64_t sum = 0;
    for (const auto &[key, history] : levels.pairs) {
        for (const auto &window : history.halfHours) {
            sum += window.requests;
        }
    }
    return sum;
}

/** Records `missed` misses and `good` other requests in each minute from `first` to before `last`. */
void recordMinutes(service_level_recorder &recorder, duration first, duration last, int missed, int good)
{
    for (auto at = first; at < last; at += 1min) {
        for (int i = 0; i < missed + good; ++i) {
            recorder.record(start + at, makeSample("clinics", i >= missed));
        }
    }
}

} // namespace

// Guards against a failed, late or silent answer that counts as one in time.
TEST_CASE("a request counts for what the caller got", "[burn]")
{
    auto recorder = makeRecorder(1);
    recorder.record(start, makeSample("clinics", true));
    recorder.record(start, makeSample("clinics", false));
    recorder.record(start, { { "chat" }, { "clinics" }, 1s, 10ms, false, {} });
    recorder.record(start, { { "chat" }, { "clinics" }, 30s, std::nullopt, true, {} });
    const auto pair = recorder.summarise(start).pairs.at(0);
    CHECK(pair.minutes == std::vector<window_summary> { { 0, 4, 2, 2 } });
    CHECK(pair.halfHours == pair.minutes);
    const auto histograms = mergeOne(recorder, start).pairs.begin()->second.recent;
    CHECK(countInBin(histograms.latency, latencyBin(30s)) == 2);
    CHECK(countInBin(histograms.latency, latencyBin(1s)) == 0);
    CHECK(countInBin(histograms.firstToken, latencyBin(10ms)) == 1);
}

// Guards against windows that mix old and new requests when the ring comes round.
TEST_CASE("the windows match a plain list of samples", "[burn]")
{
    const auto holds = rc::check("rings", [] {
        auto recorder = makeRecorder(1);
        auto now = start;
        std::vector<std::pair<time_point, bool>> all;
        const auto steps = *rc::gen::container<std::vector<std::pair<int, bool>>>(
            rc::gen::pair(rc::gen::inRange(0, 9000), rc::gen::arbitrary<bool>()));
        for (const auto &[seconds, inTime] : steps) {
            now += std::chrono::seconds(seconds);
            all.emplace_back(now, inTime);
            recorder.record(now, makeSample("clinics", inTime));
        }
        now += std::chrono::seconds(*rc::gen::inRange(0, 90000));
        const auto decoded = decode<service_level_summary>(encode(recorder.summarise(now)));
        RC_ASSERT(decoded.has_value());
        for (const auto shape : { minuteRing, halfHourRing }) {
            std::map<std::uint32_t, window_summary> wanted;
            for (const auto &[at, inTime] : all) {
                const auto age = windowAt(shape, now) - windowAt(shape, at);
                if (age < shape.windows) {
                    auto &window = wanted[age];
                    const std::uint32_t met = inTime ? 1 : 0;
                    window = { age, window.requests + 1, window.answersInTime + met, window.firstTokensInTime + met };
                }
            }
            std::map<std::uint32_t, window_summary> found;
            for (const auto &pair : decoded->pairs) {
                for (const auto &window : shape.windows == minuteRing.windows ? pair.minutes : pair.halfHours) {
                    RC_ASSERT(found.emplace(window.age, window).second);
                }
            }
            RC_ASSERT(found == wanted);
        }
    });
    CHECK(holds);
}

// Guards against memory that grows with the number of names or with traffic.
TEST_CASE("pairs and memory have bounds, and what is lost is counted", "[burn]")
{
    auto recorder = makeRecorder(1, { 2, 100'000 });
    for (const auto *workspace : { "a", "b", "c", "c" }) {
        recorder.record(start, makeSample(workspace, true));
    }
    CHECK(recorder.pairCount() == 2);
    CHECK(recorder.losses().overflowedSamples == 2);
    // A pair without requests for three days makes room.
    recorder.record(start + 73h, makeSample("c", true));
    CHECK(recorder.pairCount() == 1);

    auto busy = makeRecorder(2);
    for (auto at = 0min; at < 73h; at += 1min) {
        for (int bin = 0; bin < allLatencyBins; ++bin) {
            busy.record(start + at, { { "chat" }, { "a" }, upperEnd(bin) + 1us, upperEnd(bin) + 1us, true, {} });
        }
    }
    CHECK(busy.memoryBytes() <= maxBytesPerPair);
    CHECK(busy.memoryBytes() > maxBytesPerPair / 2);

    auto tight = makeRecorder(3, { 2, 8 });
    recordMinutes(tight, 0min, 1h, 1, 1);
    CHECK(tight.losses().refusedCells > 0);
    CHECK(requestsIn(mergeOne(tight, start + 1h)) == 120);
    CHECK(tight.memoryBytes() <= maxCountBytesPerPair + 8 * 4);
}

// Guards against a summary that exceeds a message because there are many pairs.
TEST_CASE("a summary keeps the busiest pairs within its size", "[burn]")
{
    auto recorder = makeRecorder(1);
    for (int i = 0; i < 100; ++i) {
        recorder.record(start, makeSample("w" + std::to_string(i), true));
    }
    recorder.record(start, makeSample("w57", true));
    const auto summary = recorder.summarise(start, 2000);
    CHECK(encode(summary).size() <= 2000);
    REQUIRE_FALSE(summary.pairs.empty());
    CHECK(summary.pairs[0].workspace.value == "w57");
    CHECK(summary.losses.omittedPairs == 100 - summary.pairs.size());
}

// Guards against counting an entry twice when its summary is repeated, late or out of order.
TEST_CASE("merging is idempotent per life of an entry and sequence", "[burn]")
{
    auto first = makeRecorder(1);
    auto second = makeRecorder(2);
    first.record(start, makeSample("clinics", true));
    const auto older = first.summarise(start);
    first.record(start, makeSample("clinics", false));
    const auto newer = first.summarise(start);
    second.record(start, makeSample("clinics", true));
    const auto other = second.summarise(start);

    summary_merger merger;
    CHECK(merger.accept(newer, start).value());
    CHECK_FALSE(merger.accept(older, start).value());
    CHECK_FALSE(merger.accept(newer, start).value());
    CHECK(merger.accept(other, start).value());
    const auto merged = merger.merged(start);
    CHECK(merged.summaries == 2);
    CHECK(merged.pairs.begin()->second.minutes[0] == merged_counts { 3, 2, 2 });
}

// Guards against an entry that fails and whose last summary counts as recent for ever.
TEST_CASE("a summary that is not renewed ages", "[burn]")
{
    auto recorder = makeRecorder(1);
    recorder.record(start, makeSample("clinics", true));
    summary_merger merger;
    REQUIRE(merger.accept(recorder.summarise(start), start).value());
    const auto later = merger.merged(start + 90min);
    const auto &history = later.pairs.begin()->second;
    CHECK(history.minutes[0].requests == 0);
    CHECK(history.minutes[90].requests == 1);
    CHECK(history.halfHours[3].requests == 1);
    CHECK_FALSE(quantile(history.recent.latency, 0.5).has_value());
    CHECK(quantile(history.whole.latency, 0.5).has_value());
    CHECK(merger.merged(start + 72h).pairs.empty());
}

// Guards against a summary from another process that writes outside the windows or wraps a count.
TEST_CASE("a summary that breaks a bound is refused", "[burn]")
{
    auto recorder = makeRecorder(1);
    recorder.record(start, makeSample("clinics", true));
    const auto valid = recorder.summarise(start);
    const auto codeAfter = [&](const auto &change) {
        auto broken = valid;
        change(broken.pairs[0]);
        const auto accepted = summary_merger().accept(broken, start);
        return accepted ? result_code::ok : accepted.error().code;
    };
    CHECK(codeAfter([](pair_summary &) {}) == result_code::ok);
    CHECK(codeAfter([](pair_summary &p) { p.minutes[0].age = 360; }) == result_code::message_malformed);
    CHECK(codeAfter([](pair_summary &p) { p.halfHours[0].answersInTime = 2; }) == result_code::message_malformed);
    CHECK(codeAfter([](pair_summary &p) { p.whole.latency[0].bin = 34; }) == result_code::message_malformed);
    CHECK(codeAfter([](pair_summary &p) { p.workspace.value.resize(65); }) == result_code::message_malformed);
}

// Guards against a wrong error budget: an objective of 0.99 allows 1 miss in 100.
TEST_CASE("burn rates compare misses with what the objective allows", "[burn]")
{
    auto recorder = makeRecorder(1);
    recordMinutes(recorder, 0min, 60min, 1, 9);
    const auto report = burnOf(recorder, start + 59min);
    const auto &signal = report.services.at(0).signals.at(0);
    CHECK(signal.windows[0].requests == 50);
    CHECK(signal.windows[1].requests == 600);
    for (const auto &window : signal.windows) {
        CHECK(window.rate == Approx(10.0));
    }
    CHECK(signal.windows[1].budgetShare == Approx(10.0 / 720));
    CHECK(signal.windows[3].budgetShare == Approx(1.0));
    CHECK_FALSE(signal.fastAlert);
    CHECK(signal.slowAlert);
    CHECK(report.services[0].signals.size() == 2);
    CHECK(report.services[0].workspaces.at(0).signals[1].windows[1].missed == 60);
}

// Guards against an alert for a short spike, and against one that stays on after the problem is over.
TEST_CASE("a fast alert needs both the short and the long window", "[burn]")
{
    auto ongoing = makeRecorder(1);
    recordMinutes(ongoing, 0min, 40min, 0, 10);
    recordMinutes(ongoing, 40min, 60min, 5, 5);
    CHECK(burnOf(ongoing, start + 59min).services[0].signals[0].fastAlert);

    auto over = makeRecorder(2);
    recordMinutes(over, 0min, 20min, 10, 0);
    recordMinutes(over, 20min, 60min, 0, 10);
    CHECK_FALSE(burnOf(over, start + 59min).services[0].signals[0].fastAlert);
    CHECK(burnOf(over, start + 59min).services[0].signals[0].slowAlert);

    auto spike = makeRecorder(3);
    recordMinutes(spike, 0min, 55min, 0, 10);
    recordMinutes(spike, 55min, 60min, 10, 0);
    const auto signal = burnOf(spike, start + 59min).services[0].signals[0];
    CHECK(signal.windows[0].rate == Approx(100.0));
    CHECK(signal.windows[1].rate == Approx(8.333).epsilon(0.001));
    CHECK_FALSE(signal.fastAlert);
}

// Guards against a slow alert for an outage that is long over, or for a few bad hours in a good week.
TEST_CASE("a slow alert needs both the short and the long window", "[burn]")
{
    auto over = makeRecorder(1);
    recordMinutes(over, 0min, 10h, 1, 1);
    recordMinutes(over, 10h, 17h, 0, 1);
    const auto past = burnOf(over, start + 17h).services[0].signals[0];
    CHECK(past.windows[3].rate > 1.0);
    CHECK_FALSE(past.slowAlert);

    auto recent = makeRecorder(2);
    recordMinutes(recent, 0min, 60h, 0, 50);
    recordMinutes(recent, 60h, 66h, 1, 49);
    const auto now = burnOf(recent, start + 66h - 1min).services[0].signals[0];
    CHECK(now.windows[2].rate == Approx(2.0));
    CHECK(now.windows[3].rate < 1.0);
    CHECK_FALSE(now.slowAlert);
}

// Guards against a clock that goes back and would add to a window that other windows follow.
TEST_CASE("a sample older than the newest window is counted and left out", "[burn]")
{
    auto recorder = makeRecorder(1);
    recorder.record(start + 31min, makeSample("clinics", true));
    recorder.record(start, makeSample("clinics", true));
    CHECK(recorder.losses().lateSamples == 1);
    CHECK(requestsIn(mergeOne(recorder, start + 31min)) == 1);
}

TEST_CASE("a rate at the threshold is no alert, and no requests burn nothing", "[burn]")
{
    CHECK(burnRate(0, 0, 0.99) == 0);
    CHECK(burnRate(1000, 144, 0.99) == Approx(14.4));
    auto atLimit = makeRecorder(1);
    // An objective of 0.5 is exact in binary, so the slow rate is exactly 1.
    recordMinutes(atLimit, 0min, 10min, 5, 5);
    auto config = makeConfiguration();
    config.services[0].level.objective = 0.5;
    const auto report = burnOf(atLimit, start + 9min, config);
    CHECK(report.services[0].signals[0].windows[3].rate == 1.0);
    CHECK_FALSE(report.services[0].signals[0].slowAlert);
    CHECK(report.services[0].plots[0].rates.size() == 72);
    CHECK(report.services[0].plots[0].rates.back() == 1.0);
}

// Guards against a histogram whose bins are shifted, which would report wrong latencies.
TEST_CASE("quantiles are within a bin of the true latency", "[burn]")
{
    for (const auto latency : { duration(1500us), duration(45ms), duration(810ms), duration(29s), duration(299s) }) {
        auto histogram = makeLatencyHistogram();
        addToBin(histogram, latencyBin(latency), 100);
        for (const double share : { 0.01, 0.5, 0.99 }) {
            const auto ratio
                = static_cast<double>(quantile(histogram, share)->count()) / static_cast<double>(latency.count());
            CHECK(ratio > 1 / 1.49);
            CHECK(ratio < 1.49);
        }
    }
    CHECK(latencyBin(-1s) == 0);
    CHECK(latencyBin(999us) == 0);
    CHECK(latencyBin(301s) == allLatencyBins - 1);
    CHECK_FALSE(quantile(makeLatencyHistogram(), 0.5).has_value());
}

// Guards against a name that changes the terminal or runs in the reader's browser.
TEST_CASE("names are escaped in every form of the report", "[burn]")
{
    const std::string evil = "<script>\"&'\x1b[2J\xff";
    auto recorder = makeRecorder(1);
    recorder.record(start, { { evil }, { evil }, 1s, 1s, true, {} });
    const auto report = burnOf(recorder, start, makeConfiguration(evil));
    const auto table = renderTable(report);
    CHECK(table.find('\x1b') == std::string::npos);
    CHECK(table.find("<script>\"&'?[2J?") != std::string::npos);
    const auto page = renderHtml(report);
    CHECK(page.find("<script") == std::string::npos);
    CHECK(page.find('\x1b') == std::string::npos);
    CHECK(page.find("&lt;script&gt;&quot;&amp;&#39;?[2J?") != std::string::npos);
    const auto json = nlohmann::json::parse(renderJson(report));
    CHECK(json["rows"][2]["workspace"] == "<script>\"&'\x1b[2J\xef\xbf\xbd");
}

// Guards against a page that loads something, and against rows or alerts that one form lacks.
TEST_CASE("the forms of the report agree and need nothing from elsewhere", "[burn]")
{
    auto recorder = makeRecorder(1);
    recordMinutes(recorder, 0min, 60min, 5, 5);
    const auto report = burnOf(recorder, start + 59min);
    const auto json = nlohmann::json::parse(renderJson(report));
    REQUIRE(json["rows"].size() == 4);
    CHECK(json["time"] == "1970-01-01T00:00:00Z");
    CHECK(json["rows"][0]["workspace"].is_null());
    CHECK(json["rows"][0]["fast_alert"] == true);
    CHECK(json["rows"][3]["windows"][1]["requests"] == 600);
    CHECK(json["rows"][3]["latency_ms_1h"]["p50"].is_number());
    const auto table = renderTable(report);
    CHECK(std::count(table.begin(), table.end(), '\n') == 6);
    CHECK(table.find("fast, slow") != std::string::npos);
    const auto page = renderHtml(report);
    CHECK(page.find("fast, slow") != std::string::npos);
    CHECK(page.find("<polyline") != std::string::npos);
    for (const auto *outside : { "http:", "https:", "src=", "href=", "url(", "@import", "nan", "inf" }) {
        CHECK(page.find(outside) == std::string::npos);
    }
}
