#include "acaciafork/operators/client/Explain.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <set>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <spdlog/fmt/fmt.h>

#include "acaciafork/core/LogWords.h"

namespace acaciafork::operators {
namespace {

namespace json = boost::json;

/// Events of the group that bear on every job while they last.
constexpr std::array<std::string_view, 9> groupEvents {
    "role-changed", "tenure-began", "tenure-ended", "take-over-ended", "started",
    "draining",     "peer-silent",  "peer-heard",   "queues-in-force"
};
/// Events of a worker that bear on the jobs that run there.
constexpr std::array<std::string_view, 7> workerEvents { "worker-silent",   "worker-left",
                                                         "worker-reborn",   "worker-suspected",
                                                         "worker-draining", "worker-reached",
                                                         "worker-forgotten" };
/// Events that only a working leader logs.
constexpr std::array<std::string_view, 6> leaderEvents { "fleet",     "job-accepted", "run-placed",
                                                         "run-ended", "job-ended",    "run-stop" };
/// A wait for room below this is the ordinary way of a task.
constexpr std::int64_t ordinaryWaitMs = 100;

template <std::size_t N>
bool isOneOf(const std::array<std::string_view, N> &names, std::string_view name)
{
    return std::ranges::find(names, name) != names.end();
}

void addWord(LogLine *line, std::string_view key, std::string_view value)
{
    if (key == "time")
        line->time = value;
    else if (key == "process")
        line->process = value;
    else if (key == "event")
        line->event = value;
    else if (key != "level" && !key.empty())
        line->words.emplace_back(key, value);
}

bool readJsonLine(std::string_view text, LogLine *line)
{
    boost::system::error_code ec;
    const json::value parsed = json::parse(text, ec);
    const json::object *object = ec ? nullptr : parsed.if_object();
    if (object == nullptr)
        return false;
    for (const auto &it : *object)
        addWord(line, it.key(),
                it.value().is_string() ? std::string(it.value().get_string())
                                       : json::serialize(it.value()));
    return true;
}

/// The line is about the job: its id stands in one of the words that name jobs.
bool isAbout(const LogLine &line, std::string_view id)
{
    return line.word("job") == id || line.word("task").starts_with(id)
            || line.word("path").ends_with(id);
}

/// What the lines about one job add up to.
struct Story
{
    std::vector<const LogLine *> submissions;
    const LogLine *accepted = nullptr;
    const LogLine *refused = nullptr;
    const LogLine *ended = nullptr;
    const LogLine *failed = nullptr;
    /// Longest wait for room by step.
    std::map<std::string, std::int64_t> waitMs;
    /// How many lines of each kind with each reason.
    std::map<std::string, int> losses;
    std::map<std::string, int> stops;
    std::map<std::string, int> starts;
    std::set<std::string> failingWorkers;
    int failedRuns = 0;
    std::set<std::string> workers;
};

/// OCCURRENCE.STEP of a task's name.
std::string stepOf(std::string_view task)
{
    const std::size_t first = task.find('.');
    const std::size_t last = task.rfind('.');
    return first == std::string_view::npos || last <= first
            ? std::string()
            : std::string(task.substr(first + 1, last - first - 1));
}

void addToStory(const LogLine &line, Story *story)
{
    if (!line.word("worker").empty())
        story->workers.emplace(line.word("worker"));
    if (line.event == "call-answered" && line.word("submit") == "true") {
        story->submissions.push_back(&line);
    } else if (line.event == "job-accepted") {
        story->accepted = &line;
    } else if (line.event == "job-refused") {
        story->refused = &line;
    } else if (line.event == "job-ended") {
        story->ended = &line;
    } else if (line.event == "job-failed") {
        story->failed = &line;
    } else if (line.event == "run-placed") {
        std::int64_t &wait = story->waitMs[stepOf(line.word("task"))];
        wait = std::max(wait, line.number("waited-ms"));
    } else if (line.event == "run-ended" && line.word("end") == "failed") {
        ++story->failedRuns;
        story->failingWorkers.emplace(line.word("worker"));
    } else if (line.event == "run-lost") {
        ++story->losses[std::string(line.word("reason"))];
    } else if (line.event == "run-stop") {
        ++story->stops[std::string(line.word("reason"))];
    } else if (line.event == "start-failed") {
        ++story->starts[std::string(line.word("outcome"))];
    }
}

std::string refusalText(const Story &story)
{
    if (story.refused != nullptr)
        return fmt::format("refused by the leader: {}{}", story.refused->word("reason"),
                           story.refused->word("detail"));
    const LogLine &last = *story.submissions.back();
    const std::int64_t status = last.number("status");
    if (status == 503)
        return "refused: the entry knew no leader, or the leader could not change the state";
    if (status == 504)
        return "not answered in time: whether it was accepted was not known to the entry";
    return fmt::format("refused with status {}: the call itself can't be served", status);
}

std::string verdictOf(const Story &story)
{
    if (story.ended != nullptr) {
        const std::int64_t age = story.ended->number("age-ms");
        const std::int64_t objective = story.ended->number("objective-ms");
        return fmt::format("{} after {} ms, {} its objective of {} ms",
                           story.ended->word("outcome"), age, age > objective ? "past" : "within",
                           objective);
    }
    if (story.accepted != nullptr)
        return "accepted, and not over where these logs end";
    if (!story.submissions.empty())
        return refusalText(story);
    return "no line of these logs is about it: it never reached these processes";
}

std::string countsText(const std::map<std::string, int> &counts)
{
    std::string text;
    for (const auto &[name, count] : counts)
        text += fmt::format("{}{} {}", text.empty() ? "" : ", ", count, name);
    return text;
}

/// A time in which no leader scheduled.
struct Gap
{
    std::string from;
    std::string to;
};

/// From the last decision of each leader to the next tenure, among lines by time. A leader that
/// froze says nothing of its end: only what it did not log any more tells.
std::vector<Gap> leaderlessGaps(std::span<const LogLine> lines)
{
    std::vector<Gap> gaps;
    std::string leader;
    std::string decidedAt;
    for (const LogLine &it : lines) {
        if (it.event == "tenure-began") {
            if (!leader.empty())
                gaps.push_back({ .from = decidedAt, .to = it.time });
            leader = it.process;
            decidedAt = it.time;
        } else if (it.process == leader && isOneOf(leaderEvents, it.event)) {
            decidedAt = it.time;
        }
    }
    return gaps;
}

std::vector<std::string> causesOf(const Story &story, std::span<const Gap> gaps)
{
    std::vector<std::string> causes;
    if (story.failed != nullptr && story.failed->word("reason") == "crashes-workers")
        causes.push_back(fmt::format("{} workers crashed while they ran task {}, the last one {}",
                                     story.failed->word("crashes"), story.failed->word("task"),
                                     story.failed->word("worker")));
    else if (story.failed != nullptr)
        causes.push_back(fmt::format("task {} failed {} times, the last time at {}",
                                     story.failed->word("task"), story.failed->word("attempts"),
                                     story.failed->word("worker")));
    for (const Gap &it : gaps)
        causes.push_back(fmt::format("no leader scheduled from {} to {}", it.from, it.to));
    for (const auto &[step, wait] : story.waitMs) {
        if (wait >= ordinaryWaitMs)
            causes.push_back(fmt::format("a task of step {} waited {} ms for a worker with room",
                                         step, wait));
    }
    if (story.failedRuns > 0)
        causes.push_back(fmt::format("{} runs failed, at {} workers", story.failedRuns,
                                     story.failingWorkers.size()));
    if (!story.losses.empty())
        causes.push_back("runs were lost: " + countsText(story.losses));
    if (!story.starts.empty())
        causes.push_back("starts did not succeed: " + countsText(story.starts));
    if (!story.stops.empty())
        causes.push_back("runs were stopped: " + countsText(story.stops));
    return causes;
}

} // namespace

std::string_view LogLine::word(std::string_view key) const
{
    const auto it = std::ranges::find(words, key, &std::pair<std::string, std::string>::first);
    return it == words.end() ? std::string_view() : std::string_view(it->second);
}

std::int64_t LogLine::number(std::string_view key) const
{
    const std::string_view text = word(key);
    std::int64_t n = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    return ec == std::errc() && end == text.data() + text.size() ? n : 0;
}

std::vector<LogLine> readLogLines(std::string_view text)
{
    std::vector<LogLine> lines;
    while (!text.empty()) {
        const std::size_t length = std::min(text.find('\n'), text.size());
        const std::string_view row = text.substr(0, length);
        text.remove_prefix(std::min(length + 1, text.size()));
        LogLine line;
        const std::size_t brace = row.find('{');
        if (brace == std::string_view::npos || !readJsonLine(row.substr(brace), &line)) {
            const std::size_t begin = row.find("time=");
            if (begin == std::string_view::npos)
                continue;
            forEachLogWord(row.substr(begin), [&](std::string_view key, std::string_view value) {
                addWord(&line, key, value);
            });
        }
        if (!line.event.empty())
            lines.push_back(std::move(line));
    }
    return lines;
}

Explanation explain(std::string_view id, std::span<const std::string> logs)
{
    std::vector<LogLine> all;
    for (const std::string &it : logs) {
        std::vector<LogLine> lines = readLogLines(it);
        std::ranges::move(lines, std::back_inserter(all));
    }
    std::ranges::stable_sort(all, {}, &LogLine::time);

    Story story;
    const LogLine *first = nullptr;
    const LogLine *last = nullptr;
    for (const LogLine &it : all) {
        if (!isAbout(it, id))
            continue;
        addToStory(it, &story);
        first = first == nullptr ? &it : first;
        last = &it;
    }
    Explanation explanation { .id = std::string(id), .verdict = verdictOf(story) };
    if (first == nullptr)
        return explanation;
    // Of a job that is not over, all that followed may be a cause; of any, a leader's loss that its
    // time touches.
    const bool isOver = story.ended != nullptr || story.accepted == nullptr;
    std::string from = first->time;
    std::string to = isOver ? last->time : all.back().time;
    std::vector<Gap> gaps = leaderlessGaps(all);
    std::erase_if(gaps, [&](const Gap &it) { return it.from >= to || it.to <= from; });
    for (const Gap &it : gaps) {
        from = std::min(from, it.from);
        to = std::max(to, it.to);
    }
    for (const LogLine &it : all) {
        const bool isContext = it.time >= from && it.time <= to
                && (isOneOf(groupEvents, it.event)
                    || (isOneOf(workerEvents, it.event)
                        && story.workers.contains(std::string(it.word("worker")))));
        if (isAbout(it, id) || isContext)
            explanation.lines.push_back(it);
    }
    explanation.causes = causesOf(story, gaps);
    return explanation;
}

std::string explanationText(const Explanation &explanation)
{
    std::string text = fmt::format("{}: {}\n", explanation.id, explanation.verdict);
    for (const std::string &it : explanation.causes)
        text += "  " + it + '\n';
    for (const LogLine &it : explanation.lines) {
        text += fmt::format("{} {} {}", it.time, it.process, it.event);
        for (const auto &[key, value] : it.words)
            text += fmt::format(" {}={}", key, value);
        text += '\n';
    }
    return text;
}

json::value explanationJson(const Explanation &explanation)
{
    json::array lines;
    for (const LogLine &it : explanation.lines) {
        json::object line { { "time", it.time }, { "process", it.process }, { "event", it.event } };
        for (const auto &[key, value] : it.words)
            line[key] = value;
        lines.push_back(std::move(line));
    }
    json::array causes;
    for (const std::string &it : explanation.causes)
        causes.push_back(json::string(it));
    return json::object { { "id", explanation.id },
                          { "verdict", explanation.verdict },
                          { "causes", std::move(causes) },
                          { "lines", std::move(lines) } };
}

} // namespace acaciafork::operators
