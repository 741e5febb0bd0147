#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "acaciafork/core/Settings.h"

namespace acaciafork::questionnaire {

/// Answers about the installation as a whole.
struct SiteAnswers
{
    std::string cluster = "acaciafork";
    std::vector<std::string> zones;
    /// Instances that run an entry, as zone@ip or zone@ip:port.
    std::vector<std::string> entries;
    /// Instances with a disk that run a control member, written the same way.
    std::vector<std::string> control;
    std::int64_t callersPort = 8400;
    std::int64_t operatorsPort = 8401;
    std::int64_t peersPort = 8402;
    std::string dataFolder = "/var/lib/acaciafork";
    std::string tokenFile = "/etc/acaciafork/operator-token";
    std::int64_t entryMemoryMb = 2048;
    bool serveWithoutControl = true;
    std::string logFormat = "text";
};

/// Answers about one service.
struct ServiceAnswers
{
    std::string name;
    std::string waiting = "person";
    std::int64_t workers = 1;
    std::int64_t slots = 8;
    std::int64_t connections = 64;
    std::int64_t cores = 1;
    std::int64_t memoryGb = 1;
    std::int64_t workersPerRack = 10;
    std::int64_t usualAnswerMs = 200;
    std::int64_t longAnswerMs = 2000;
    std::int64_t patienceMs = 5000;
    bool mixesLongWork = true;
    std::int64_t missingPercent = 20;
    std::int64_t warmUpSeconds = 10;
    std::int64_t largestRequestKb = 1024;
};

/// Answers about one team that hands in jobs.
struct TeamAnswers
{
    std::string name;
    std::int64_t cores = 32;
    std::int64_t memoryGb = 125;
    std::int64_t accelerators = 0;
    std::int64_t share = 1;
};

/// All answers.
struct Answers
{
    SiteAnswers site;
    std::vector<ServiceAnswers> services;
    std::vector<TeamAnswers> teams;
};

/// Reads an answers file: sections [site], [service NAME] and [team NAME].
/// Fails with SettingsProblems that list everything wrong.
Result<Answers> parseAnswers(std::string_view text, std::string_view file);

/// Text of an answers file.
std::string renderAnswers(const Answers &answers);

/// What is wrong with answers that belong together, such as a member in an unknown zone.
std::vector<SettingsProblem> crossCheck(const Answers &answers, std::string_view file);

/// An instance written zone@ip or zone@ip:port; all empty when it is not.
struct Instance
{
    std::string zone;
    std::string host;
    /// First of three ports in a row for callers, operators and peers; 0 takes the site's.
    std::int64_t port = 0;
};

/// Takes an instance apart.
Instance instanceOf(std::string_view text);

} // namespace acaciafork::questionnaire
