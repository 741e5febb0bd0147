#include "Configure.h"

#include <filesystem>
#include <fstream>
#include <iostream>

#include "acaciafork/questionnaire/Questionnaire.h"

namespace acaciafork::ctl {
namespace {

namespace fs = std::filesystem;

/// Asks every question at the terminal.
/// Fails with Failure when the input ends early, or with SettingsProblems when the answers do not
/// fit together.
Result<questionnaire::Answers> interview()
{
    questionnaire::Interview interview;
    std::string line;
    while (!interview.isDone()) {
        std::cout << interview.prompt() << std::flush;
        if (!std::getline(std::cin, line))
            return fail(FailureKind::InvalidArgument, "the input ended before the last question");
        if (const std::string allowed = interview.answer(line); !allowed.empty())
            std::cout << "Allowed is " << allowed << ".\n";
    }
    SettingsProblems problems { questionnaire::crossCheck(interview.answers(), "answers") };
    if (!problems.problems.empty())
        return leaf::new_error(std::move(problems));
    return interview.answers();
}

Result<questionnaire::Answers> answersOf(const ConfigureOptions &options)
{
    if (options.answersFile.empty())
        return interview();
    BOOST_LEAF_AUTO(text, readFile(options.answersFile));
    return questionnaire::parseAnswers(text, options.answersFile);
}

Result<void> writeFile(const fs::path &path, const std::string &text)
{
    std::ofstream stream(path, std::ios::binary);
    stream << text;
    if (!stream.flush())
        return fail(FailureKind::Storage, "cannot write " + path.string());
    return {};
}

} // namespace

Result<void> configure(const ConfigureOptions &options)
{
    BOOST_LEAF_AUTO(answers, answersOf(options));
    questionnaire::Generated generated = questionnaire::generate(answers);
    const std::string page = questionnaire::explanationPage(generated);
    generated.files.push_back({ "explanation.md", page });
    generated.files.push_back({ "answers.ini", questionnaire::renderAnswers(answers) });

    std::error_code ec;
    fs::create_directories(options.folder, ec);
    if (ec)
        return fail(FailureKind::Storage, "cannot make " + options.folder + ": " + ec.message());
    for (const questionnaire::GeneratedFile &it : generated.files) {
        const fs::path path = fs::path(options.folder) / it.name;
        if (auto written = writeFile(path, it.text); !written)
            return written.error();
        std::cout << path.string() << '\n';
    }
    if (options.explain)
        std::cout << '\n' << page;
    return {};
}

} // namespace acaciafork::ctl
