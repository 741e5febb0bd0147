#include "acaciafork/questionnaire/ServiceDerivation.h"

#include <algorithm>

#include <boost/json.hpp>

#include "acaciafork/questionnaire/Units.h"

namespace acaciafork::questionnaire {
namespace {

namespace json = boost::json;

constexpr std::int64_t oneDayMs = std::int64_t(24) * 3600 * 1000;
constexpr std::int64_t millisecondsPerSecond = 1000;
constexpr std::int64_t bytesPerKb = 1024;
constexpr std::int64_t leastQueue = 16;
constexpr std::int64_t mostQueue = 10'000;
constexpr std::int64_t retryPercent = 10;
constexpr std::int64_t mostEjectedPercent = 50;
/// Slots of which one is kept for short work.
constexpr std::int64_t slotsPerShortSlot = 4;

/// Adds values to a document, each with its reason.
struct Writer
{
    std::string file;
    json::object *document;
    std::vector<Explanation> *explanations;

    void set(const std::string &key, const json::value &value, std::string because)
    {
        (*document)[key] = value;
        const std::string text =
                value.is_string() ? std::string(value.get_string()) : json::serialize(value);
        explanations->push_back({ file, key, text, std::move(because) });
    }
};

bool isStream(const ServiceAnswers &service)
{
    return service.waiting == "stream";
}

std::string className(const ServiceAnswers &service)
{
    if (isStream(service))
        return "stream";
    return service.waiting == "person" ? "interactive" : "batch";
}

/// Most requests that wait at one entry: as many as its share of the copies can still answer before
/// the deadline; more would only be refused later.
std::int64_t queueLimit(const ServiceAnswers &service, const SiteAnswers &site)
{
    const auto entries = std::max<std::int64_t>(1, static_cast<std::int64_t>(site.entries.size()));
    const std::int64_t atWork = service.workers * service.slots;
    const std::int64_t waiting = atWork * service.patienceMs / service.usualAnswerMs / entries;
    return std::clamp(waiting, leastQueue, mostQueue);
}

} // namespace

json::object deriveService(const ServiceAnswers &service, const SiteAnswers &site,
                           std::vector<Explanation> *explanations)
{
    json::object document;
    Writer writer { "configuration.json, service " + service.name, &document, explanations };
    writer.set("name", json::string(service.name), "the name given");
    writer.set("class", json::string(className(service)), "waiting = " + service.waiting);
    writer.set("slots", service.slots, "slots, as answered");
    writer.set("connections", service.connections, "connections, as answered");

    const bool keepsSlots = service.mixesLongWork && !isStream(service) && service.slots > 1;
    writer.set("shortWorkSlots",
               keepsSlots ? std::max<std::int64_t>(1, service.slots / slotsPerShortSlot) : 0,
               keepsSlots ? "mixes-long-work: a quarter of the slots, at least one"
                          : "nothing to keep apart: no long work, a stream, or a single slot");
    writer.set("shortWorkMs", 2 * service.usualAnswerMs, "twice usual-answer-ms");
    writer.set("deadlineMs", isStream(service) ? oneDayMs : service.patienceMs,
               isStream(service) ? "a stream stays open: one day" : "patience-ms");
    writer.set("longestDeadlineMs",
               isStream(service)
                       ? oneDayMs
                       : std::min(oneDayMs, std::max(service.patienceMs, 3 * service.longAnswerMs)),
               isStream(service) ? "a stream stays open: one day"
                                 : "three times long-answer-ms, at least patience-ms");
    writer.set("queueLimit", queueLimit(service, site),
               "workers x slots x patience-ms / usual-answer-ms / number of entries, from "
                       + std::to_string(leastQueue) + " to " + std::to_string(mostQueue));
    writer.set(
            "retryBudgetPercent", retryPercent,
            "the same for all: retries at most a tenth of successes, so that they start no storm");
    writer.set("ejectedPercent", std::min(service.missingPercent, mostEjectedPercent),
               "missing-percent, at most half");
    writer.set("slowStartMs", service.warmUpSeconds * millisecondsPerSecond, "warm-up-s");
    writer.set("requestBodyLimitBytes", service.largestRequestKb * bytesPerKb,
               "largest-request-kb");
    return document;
}

json::object derivePlacement(const ServiceAnswers &service, std::vector<Explanation> *explanations)
{
    json::object document;
    Writer writer { "placement-" + service.name + ".json", &document, explanations };
    writer.set("replicas", service.workers, "workers, as answered");
    writer.set("size",
               json::object { { "millicores", service.cores * millicoresPerCore },
                              { "memoryMb", service.memoryGb * mbPerGb } },
               "cores and memory-gb of one copy");
    writer.set("family", json::string(service.name), "copies of one service resemble each other");
    writer.set("mostPerRack", service.workersPerRack, "workers-per-rack");
    return document;
}

} // namespace acaciafork::questionnaire
