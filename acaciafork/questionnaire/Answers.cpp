#include "acaciafork/questionnaire/Answers.h"

#include <algorithm>
#include <set>

#include <boost/asio/ip/address.hpp>

#include "acaciafork/questionnaire/Questions.h"

namespace acaciafork::questionnaire {
namespace {

constexpr std::string_view servicePrefix = "service ";
constexpr std::string_view teamPrefix = "team ";
/// An instance's own ports are three in a row.
constexpr std::int64_t mostFirstPort = 65'533;

/// True for a name that can stand in a path and a file name.
bool isPlainName(std::string_view text)
{
    constexpr std::string_view allowed =
            "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
    return !text.empty() && text.find_first_not_of(allowed) == std::string_view::npos;
}

/// Lines of one section.
template <typename S>
std::string renderSection(const std::string &title, std::span<const Question<S>> questions,
                          const S &answers)
{
    std::string text = '[' + title + "]\n";
    for (const Question<S> &it : questions)
        text += "; " + std::string(it.field.meaning) + '\n' + std::string(it.field.key) + " = "
                + answerText(it, answers) + '\n';
    return text;
}

/// Checks each instance of a list: written zone@ip, in a known zone, named once.
void checkInstances(const std::vector<std::string> &instances, const std::string &key,
                    const SiteAnswers &site, const std::string &file,
                    std::vector<SettingsProblem> *problems)
{
    std::set<std::string> seen;
    for (const std::string &it : instances) {
        const Instance instance = instanceOf(it);
        boost::system::error_code ec;
        boost::asio::ip::make_address(instance.host, ec);
        const bool isKnownZone =
                std::find(site.zones.begin(), site.zones.end(), instance.zone) != site.zones.end();
        if (ec || !isKnownZone)
            problems->push_back(
                    { file, "site", key, it, "zone@ip or zone@ip:port with one of the zones" });
        if (!seen.insert(instance.host + ':' + std::to_string(instance.port)).second)
            problems->push_back({ file, "site", key, it, "each instance once" });
    }
}

} // namespace

Result<Answers> parseAnswers(std::string_view text, std::string_view file)
{
    BOOST_LEAF_AUTO(sections, parseIni(text, file));
    Answers answers;
    SettingsProblems all;
    for (const auto &[section, keys] : sections) {
        if (section == "site") {
            readSection(siteQuestions(), keys, section, file, &answers.site, &all.problems);
        } else if (section.starts_with(servicePrefix)) {
            ServiceAnswers service { .name = section.substr(servicePrefix.size()) };
            readSection(serviceQuestions(), keys, section, file, &service, &all.problems);
            answers.services.push_back(std::move(service));
        } else if (section.starts_with(teamPrefix)) {
            TeamAnswers team { .name = section.substr(teamPrefix.size()) };
            readSection(teamQuestions(), keys, section, file, &team, &all.problems);
            answers.teams.push_back(std::move(team));
        } else {
            all.problems.push_back({ std::string(file), section, "", "an unknown section",
                                     "[site], [service NAME] and [team NAME]" });
        }
    }
    if (!sections.contains("site"))
        all.problems.push_back({ std::string(file), "site", "", "nothing", "the section [site]" });
    if (all.problems.empty())
        all.problems = crossCheck(answers, file);
    if (!all.problems.empty())
        return leaf::new_error(std::move(all));
    return answers;
}

std::string renderAnswers(const Answers &answers)
{
    std::string text = renderSection("site", siteQuestions(), answers.site);
    for (const ServiceAnswers &it : answers.services)
        text += '\n' + renderSection(std::string(servicePrefix) + it.name, serviceQuestions(), it);
    for (const TeamAnswers &it : answers.teams)
        text += '\n' + renderSection(std::string(teamPrefix) + it.name, teamQuestions(), it);
    return text;
}

std::vector<SettingsProblem> crossCheck(const Answers &answers, std::string_view file)
{
    const std::string name(file);
    const SiteAnswers &site = answers.site;
    std::vector<SettingsProblem> problems;
    checkInstances(site.entries, "entries", site, name, &problems);
    checkInstances(site.control, "control", site, name, &problems);
    if (site.control.size() != 1 && site.control.size() != 3 && site.control.size() != 5)
        problems.push_back({ name, "site", "control", std::to_string(site.control.size()),
                             "three or five instances; one only for a trial" });
    if (site.dataFolder.empty())
        problems.push_back({ name, "site", "data-folder", "nothing", "a folder" });
    if (site.tokenFile.empty())
        problems.push_back({ name, "site", "token-file", "nothing", "a file" });
    const std::vector<std::int64_t> ports { site.callersPort, site.operatorsPort, site.peersPort };
    if (ports[0] == ports[1] || ports[0] == ports[2] || ports[1] == ports[2])
        problems.push_back({ name, "site", "callers-port", std::to_string(ports[0]),
                             "three different ports" });
    for (const ServiceAnswers &it : answers.services) {
        const std::string section = std::string(servicePrefix) + it.name;
        if (!isPlainName(it.name))
            problems.push_back({ name, section, "", it.name, "a name of letters, digits, - _ ." });
        if (it.longAnswerMs < it.usualAnswerMs)
            problems.push_back({ name, section, "long-answer-ms", std::to_string(it.longAnswerMs),
                                 "at least usual-answer-ms" });
        if (it.waiting != "stream" && it.patienceMs < it.usualAnswerMs)
            problems.push_back({ name, section, "patience-ms", std::to_string(it.patienceMs),
                                 "at least usual-answer-ms" });
    }
    for (const TeamAnswers &it : answers.teams) {
        if (!isPlainName(it.name))
            problems.push_back({ name, std::string(teamPrefix) + it.name, "", it.name,
                                 "a name of letters, digits, - _ ." });
    }
    return problems;
}

Instance instanceOf(std::string_view text)
{
    const std::size_t at = text.find('@');
    if (at == std::string_view::npos)
        return {};
    std::string_view host = text.substr(at + 1);
    Instance instance { .zone = std::string(text.substr(0, at)) };
    const std::size_t colon = host.find(':');
    if (colon != std::string_view::npos) {
        if (!parseBoundedNumber(host.substr(colon + 1), 1, mostFirstPort, &instance.port))
            return {};
        host = host.substr(0, colon);
    }
    instance.host = std::string(host);
    return instance;
}

} // namespace acaciafork::questionnaire
