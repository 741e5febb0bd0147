#pragma once

#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "acaciafork/questionnaire/Answers.h"

namespace acaciafork::questionnaire {

/// One question about S: the field it fills, whose meaning is the question in plain words, and why
/// it is asked.
template <typename S>
struct Question
{
    SettingField<S> field;
    std::string_view explanation;
    /// Words allowed, with commas between them; empty for any.
    std::string_view choices;
};

/// Questions about the installation.
std::span<const Question<SiteAnswers>> siteQuestions();
/// Questions about each service.
std::span<const Question<ServiceAnswers>> serviceQuestions();
/// Questions about each team.
std::span<const Question<TeamAnswers>> teamQuestions();

/// Text of the member that a question fills.
template <typename S>
std::string answerText(const Question<S> &question, const S &answers)
{
    struct Visitor
    {
        const S &answers;
        std::string operator()(std::int64_t S::*member) const
        {
            return std::to_string(answers.*member);
        }
        std::string operator()(Duration S::*member) const
        {
            return std::to_string((answers.*member).count());
        }
        std::string operator()(bool S::*member) const { return answers.*member ? "true" : "false"; }
        std::string operator()(std::string S::*member) const { return answers.*member; }
        std::string operator()(std::vector<std::string> S::*member) const
        {
            std::string text;
            for (const std::string &it : answers.*member)
                text += (text.empty() ? "" : ", ") + it;
            return text;
        }
    };
    return std::visit(Visitor { answers }, question.field.member);
}

/// True when a text is one of the words allowed.
bool isChoice(std::string_view choices, std::string_view text);

/// Reads one section of an answers file; what is wrong is added to `problems`.
template <typename S>
void readSection(std::span<const Question<S>> questions,
                 const std::map<std::string, std::string> &keys, std::string_view section,
                 std::string_view file, S *answers, std::vector<SettingsProblem> *problems)
{
    // The fields are read under one name, and problems told under the section's own.
    const std::string inner(questions.front().field.section);
    std::vector<SettingField<S>> fields;
    for (const Question<S> &it : questions)
        fields.push_back(it.field);
    leaf::try_handle_all(
            [&]() -> Result<void> {
                return readSettings<S>({ { inner, keys } }, file, fields, answers);
            },
            [&](const SettingsProblems &found) {
                for (SettingsProblem it : found.problems) {
                    it.section = std::string(section);
                    problems->push_back(std::move(it));
                }
            },
            [] {});
    for (const Question<S> &it : questions) {
        if (!isChoice(it.choices, answerText(it, *answers)))
            problems->push_back({ std::string(file), std::string(section),
                                  std::string(it.field.key), answerText(it, *answers),
                                  "one of " + std::string(it.choices) });
    }
}

} // namespace acaciafork::questionnaire
