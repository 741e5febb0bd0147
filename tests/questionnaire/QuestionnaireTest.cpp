#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "acaciafork/questionnaire/Questionnaire.h"

using namespace acaciafork;
using namespace acaciafork::questionnaire;

namespace {

const std::string goldenDir = ACACIAFORK_GOLDEN_DIR;

std::string contentOf(const std::string &path)
{
    const Result<std::string> text = readFile(path);
    REQUIRE_MESSAGE(text, path);
    return *text;
}

/// Committed answers file of a deployment.
std::string examplePath(const std::string &name)
{
    std::string path = goldenDir;
    return path.append("/../../examples/").append(name).append(".answers");
}

/// Every problem of an answers file, as text.
std::string problemsOf(const std::string &text)
{
    return leaf::try_handle_all(
            [&]() -> Result<std::string> {
                BOOST_LEAF_AUTO(answers, parseAnswers(text, "f"));
                return "none for " + answers.site.cluster;
            },
            [](const SettingsProblems &found) { return describe(found); },
            [] { return std::string("unknown failure"); });
}

const std::string smallSite =
        "[site]\ncluster=c\nzones=a\nentries=a@10.0.0.1\ncontrol=a@10.0.0.1\n";

/// Answers to every question of the interview, defaults but for what has none.
std::vector<std::string> shortAnswers()
{
    std::vector<std::string> texts { "furiko", "a, b", "a@10.0.0.1, b@10.0.0.2", "a@10.0.0.1" };
    texts.resize(siteQuestions().size());
    texts.emplace_back("book");
    texts.resize(texts.size() + serviceQuestions().size());
    texts.emplace_back("");
    texts.emplace_back("calibrations");
    texts.resize(texts.size() + teamQuestions().size());
    texts.emplace_back("");
    return texts;
}

} // namespace

TEST_CASE("the committed answers give the committed settings")
{
    for (const std::string name : { "warm-floors", "furiko" }) {
        const Result<Answers> answers = parseAnswers(contentOf(examplePath(name)), name);
        REQUIRE(answers);
        Generated generated = generate(*answers);
        generated.files.push_back({ "explanation.md", explanationPage(generated) });
        std::string folder = goldenDir;
        folder.append("/questionnaire/").append(name).append("/");
        if (std::getenv("ACACIAFORK_UPDATE_GOLDEN") != nullptr) {
            std::filesystem::create_directories(folder);
            for (const GeneratedFile &it : generated.files)
                std::ofstream(folder + it.name) << it.text;
        }
        for (const GeneratedFile &it : generated.files)
            CHECK_MESSAGE(it.text == contentOf(folder + it.name), it.name);
        const auto kept = std::distance(std::filesystem::directory_iterator(folder),
                                        std::filesystem::directory_iterator());
        CHECK(static_cast<std::size_t>(kept) == generated.files.size());
    }
}

TEST_CASE("every generated INI is well formed, and no two processes of one instance share a port")
{
    const Result<Answers> answers = parseAnswers(contentOf(examplePath("furiko")), "furiko");
    REQUIRE(answers);
    std::vector<std::string> addresses;
    for (const GeneratedFile &it : generate(*answers).files) {
        if (!it.name.ends_with(".ini") || it.name == "ctl.ini")
            continue;
        const Result<IniSections> sections = parseIni(it.text, it.name);
        REQUIRE(sections);
        for (const auto &[key, address] : sections->at("listen"))
            addresses.push_back(address);
    }
    const std::size_t all = addresses.size();
    std::sort(addresses.begin(), addresses.end());
    addresses.erase(std::unique(addresses.begin(), addresses.end()), addresses.end());
    CHECK(addresses.size() == all);
    CHECK(all == 9 * 3 + 3 * 2);
}

TEST_CASE("answers written out read back the same")
{
    const Result<Answers> answers = parseAnswers(contentOf(examplePath("furiko")), "furiko");
    REQUIRE(answers);
    const std::string text = renderAnswers(*answers);
    const Result<Answers> again = parseAnswers(text, "again");
    REQUIRE(again);
    CHECK(renderAnswers(*again) == text);
}

TEST_CASE("every wrong answer is told at once, with what is allowed")
{
    CHECK(problemsOf(smallSite) == "none for c");
    const std::string found = problemsOf("[site]\ncluster=c\nzones=a\nentries=a@10.0.0.1\n"
                                         "callers-port=70000\nlog-format=loud\ncolour=red\n"
                                         "[service s]\nworkers=0\nwaiting=dog\n[extra]\nx=1\n");
    for (const char *it : { "[site] control: found nothing",
                            "[site] callers-port: found 70000, allowed a whole number",
                            "[site] log-format: found loud, allowed one of text,json",
                            "[site] colour: found red, allowed no such key",
                            "[service s] workers: found 0, allowed a whole number from 1",
                            "[service s] waiting: found dog", "[extra]" })
        CHECK_MESSAGE(found.find(it) != std::string::npos, it << " in " << found);
}

TEST_CASE("answers that don't fit together are told")
{
    const auto has = [](const std::string &text, const std::string &wanted) {
        const std::string found = problemsOf(text);
        CHECK_MESSAGE(found.find(wanted) != std::string::npos, found);
    };
    has(smallSite + "callers-port=8402\n", "three different ports");
    has("[site]\ncluster=c\nzones=a\nentries=b@10.0.0.1\ncontrol=a@10.0.0.1\n", "found b@10.0.0.1");
    has("[site]\ncluster=c\nzones=a\nentries=a@host\ncontrol=a@10.0.0.1\n", "found a@host");
    has("[site]\ncluster=c\nzones=a\nentries=a@10.0.0.1,a@10.0.0.1\ncontrol=a@10.0.0.1\n",
        "each instance once");
    has("[site]\ncluster=c\nzones=a\nentries=a@10.0.0.1\ncontrol=a@10.0.0.1,a@10.0.0.2\n",
        "three or five");
    has(smallSite + "token-file=\n", "found nothing, allowed a file");
    has(smallSite + "[service s]\nworkers=1\npatience-ms=10\n", "at least usual-answer-ms");
}

TEST_CASE("an instance with a port of its own takes three in a row")
{
    const Result<Answers> answers =
            parseAnswers("[site]\ncluster=c\nzones=a\nentries=a@127.0.0.1:9000\n"
                         "control=a@127.0.0.1:9100\n",
                         "f");
    REQUIRE(answers);
    const Generated generated = generate(*answers);
    CHECK(generated.files[0].text.find("peers = 127.0.0.1:9102") != std::string::npos);
    CHECK(generated.files[1].text.find("callers = 127.0.0.1:9000") != std::string::npos);
    CHECK(generated.files[1].text.find("members = 1@a@127.0.0.1:9102") != std::string::npos);
}

TEST_CASE("the interview asks everything, stands still at a wrong answer, and ends")
{
    Interview interview;
    const std::vector<std::string> texts = shortAnswers();
    for (std::size_t i = 0; i < texts.size(); ++i) {
        REQUIRE_FALSE(interview.isDone());
        CHECK_FALSE(interview.prompt().empty());
        if (i == 4) {
            const std::string before = interview.prompt();
            CHECK(interview.answer("not a port") == "a whole number from 1 to 65535");
            CHECK(interview.prompt() == before);
        }
        CHECK(interview.answer(texts[i]).empty());
    }
    CHECK(interview.isDone());
    CHECK(interview.answers().services.front().name == "book");
    CHECK(interview.answers().teams.front().cores == 32);
    CHECK(crossCheck(interview.answers(), "f").empty());
}

TEST_CASE("a required question can't be skipped")
{
    Interview interview;
    CHECK(interview.answer("").empty()); // the cluster has a default
    CHECK(interview.answer("") == "at least one word");
}
