#include "acaciafork/questionnaire/Questions.h"

#include <algorithm>
#include <array>

namespace acaciafork::questionnaire {
namespace {

constexpr std::int64_t mostPort = 65'535;
constexpr std::int64_t mostMs = 86'400'000;
constexpr std::int64_t mostWorkers = 10'000;
constexpr std::int64_t mostPercent = 100;
constexpr std::int64_t mostAmount = 100'000;
constexpr std::int64_t mostEntryMemoryMb = 65'536;
constexpr std::int64_t mostRequestKb = 1'048'576;

using Site = SiteAnswers;
using Service = ServiceAnswers;
using Team = TeamAnswers;

const std::array<Question<Site>, 12> siteTable { {
        { { "site", "cluster", &Site::cluster, 0, 0, true,
            "What shall the installation be called?" },
          "Processes of two installations never talk to each other: the name keeps them apart." },
        { { "site", "zones", &Site::zones, 0, 0, true, "Which availability zones do you have?" },
          "Requests stay in their zone where they can, and control members are spread over "
          "zones." },
        { { "site", "entries", &Site::entries, 0, 0, true,
            "Which small instances stand behind the balancer? (zone@ip, ...)" },
          "Each of them runs one entry, which takes requests from callers." },
        { { "site", "control", &Site::control, 0, 0, true,
            "Which of your instances have a disk? Name three or five. (zone@ip, ...)" },
          "They keep the agreed state. Three stand the loss of one, five the loss of two." },
        { { "site", "callers-port", &Site::callersPort, 1, mostPort, false,
            "On which port shall callers be answered?" },
          "The balancer in front sends to this port." },
        { { "site", "operators-port", &Site::operatorsPort, 1, mostPort - 10, false,
            "On which port shall operators be answered?" },
          "It is apart from the callers' port, so that it can be closed to the outside." },
        { { "site", "peers-port", &Site::peersPort, 1, mostPort - 10, false,
            "On which port shall the processes talk to each other?" },
          "Only the instances named above need to reach it." },
        { { "site", "data-folder", &Site::dataFolder, 0, 0, false,
            "Where on the disk shall control members keep their state?" },
          "Each member has one folder below it; nothing else may be stored there." },
        { { "site", "token-file", &Site::tokenFile, 0, 0, false,
            "Which file holds the operators' secret token?" },
          "Whoever has the token may change everything; the file should be readable by few." },
        { { "site", "entry-memory-mb", &Site::entryMemoryMb, 256, mostEntryMemoryMb, false,
            "How much memory, in MB, does an entry instance have?" },
          "Request bodies wait in memory; past a quarter of it new ones are told not-run." },
        { { "site", "serve-without-control", &Site::serveWithoutControl, 0, 0, false,
            "May an entry go on answering while it reaches no control member? (true or false)" },
          "If so, it answers under the last accepted configuration; if not, it tells the balancer "
          "to leave it out." },
        { { "site", "log-format", &Site::logFormat, 0, 0, false,
            "How shall log lines be written, as text or as json?" },
          "Choose json when a program reads them.",
          "text,json" },
} };

const std::array<Question<Service>, 14> serviceTable { {
        { { "service", "waiting", &Service::waiting, 0, 0, false,
            "Who waits for an answer: a person, nobody, or is it a stream that stays open?" },
          "Work that a person waits for goes first; streams are counted apart.",
          "person,nobody,stream" },
        { { "service", "workers", &Service::workers, 1, mostWorkers, true,
            "How many copies of the service run?" },
          "It bounds how many requests can be at work at once." },
        { { "service", "slots", &Service::slots, 1, 10'000, false,
            "How many requests can one copy work on at once?" },
          "No copy is ever given more." },
        { { "service", "connections", &Service::connections, 1, 100'000, false,
            "How many connections can one copy hold open?" },
          "A second bound beside the slots; streams count here." },
        { { "service", "cores", &Service::cores, 1, mostAmount, false,
            "How many cores does one copy need?" },
          "Placement finds a worker with that much room." },
        { { "service", "memory-gb", &Service::memoryGb, 1, mostAmount, false,
            "How much memory, in GB, does one copy need?" },
          "Placement finds a worker with that much room." },
        { { "service", "workers-per-rack", &Service::workersPerRack, 1, mostWorkers, false,
            "How many of them may stand in one rack?" },
          "The fewer, the less is lost with a rack." },
        { { "service", "usual-answer-ms", &Service::usualAnswerMs, 1, mostMs, false,
            "How long does a usual, short request take, in milliseconds?" },
          "What is expected to take up to twice as long counts as short work." },
        { { "service", "long-answer-ms", &Service::longAnswerMs, 1, mostMs, false,
            "How long do your longest requests take, in milliseconds?" },
          "No caller may ask for a deadline beyond three times this." },
        { { "service", "patience-ms", &Service::patienceMs, 1, mostMs, false,
            "After how many milliseconds is an answer of no use any more?" },
          "It becomes the deadline. A request that can't make it is refused at once, not late." },
        { { "service", "mixes-long-work", &Service::mixesLongWork, 0, 0, false,
            "Do short and long requests go to the same copies?" },
          "If so, a quarter of the slots is kept for short work, so that it never queues behind." },
        { { "service", "missing-percent", &Service::missingPercent, 0, mostPercent, false,
            "What share of the copies, in percent, can be missing on a usual day?" },
          "Failing copies are left out, but never more than this share, and never more than "
          "half." },
        { { "service", "warm-up-s", &Service::warmUpSeconds, 0, 3600, false,
            "How many seconds does a new copy need to get up to speed?" },
          "Over that time its share of requests grows from little to full." },
        { { "service", "largest-request-kb", &Service::largestRequestKb, 1, mostRequestKb, false,
            "How large is the largest request body, in KB?" },
          "Larger ones are refused before they are read whole." },
} };

const std::array<Question<Team>, 4> teamTable { {
        { { "team", "cores", &Team::cores, 0, mostAmount, false,
            "How many cores may the team's jobs use at once?" },
          "The quota; jobs over it wait, and one larger than all of it is refused." },
        { { "team", "memory-gb", &Team::memoryGb, 0, mostAmount, false,
            "How much memory, in GB, may they use at once?" },
          "Part of the same quota." },
        { { "team", "accelerators", &Team::accelerators, 0, mostAmount, false,
            "How many accelerators may they use at once?" },
          "Part of the same quota." },
        { { "team", "share", &Team::share, 1, 1000, false,
            "When room is short, how many shares does the team get?" },
          "A team with two shares gets twice what a team with one gets." },
} };

} // namespace

std::span<const Question<SiteAnswers>> siteQuestions()
{
    return siteTable;
}

std::span<const Question<ServiceAnswers>> serviceQuestions()
{
    return serviceTable;
}

std::span<const Question<TeamAnswers>> teamQuestions()
{
    return teamTable;
}

bool isChoice(std::string_view choices, std::string_view text)
{
    const std::vector<std::string> allowed = splitList(choices);
    return allowed.empty() || std::find(allowed.begin(), allowed.end(), text) != allowed.end();
}

} // namespace acaciafork::questionnaire
