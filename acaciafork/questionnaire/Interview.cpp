#include "acaciafork/questionnaire/Interview.h"

#include "acaciafork/core/Assert.h"
#include "acaciafork/questionnaire/Questions.h"

namespace acaciafork::questionnaire {
namespace {

template <typename S>
std::string promptFor(const Question<S> &question, const S &answers)
{
    std::string text =
            std::string(question.field.meaning) + "\n  " + std::string(question.explanation) + '\n';
    const std::string usual = answerText(question, answers);
    return text + (usual.empty() ? "> " : "[" + usual + "] > ");
}

/// Takes one answer into `answers`; what is allowed when it is wrong, else empty.
template <typename S>
std::string take(const Question<S> &question, std::string_view text, S *answers)
{
    const std::string given = text.empty() ? answerText(question, *answers) : std::string(text);
    const IniSections sections { { std::string(question.field.section),
                                   { { std::string(question.field.key), given } } } };
    if (!isChoice(question.choices, given))
        return "one of " + std::string(question.choices);
    S changed = *answers;
    std::string allowed;
    leaf::try_handle_all(
            [&]() -> Result<void> {
                return readSettings<S>(sections, "", std::span(&question.field, 1), &changed);
            },
            [&](const SettingsProblems &found) { allowed = found.problems.front().allowed; },
            [] {});
    if (allowed.empty())
        *answers = std::move(changed);
    return allowed;
}

} // namespace

std::string Interview::prompt() const
{
    switch (m_stage) {
    case Stage::Site:
        return promptFor(siteQuestions()[m_question], m_answers.site);
    case Stage::ServiceName:
        return "What is the next service called? (empty: no more)\n> ";
    case Stage::Service:
        return promptFor(serviceQuestions()[m_question], m_answers.services.back());
    case Stage::TeamName:
        return "Which is the next team that hands in jobs? (empty: no more)\n> ";
    case Stage::Team:
        return promptFor(teamQuestions()[m_question], m_answers.teams.back());
    case Stage::Done:
        break;
    }
    return {};
}

std::string Interview::answer(std::string_view text)
{
    ACACIAFORK_ASSERT(!isDone());
    if (m_stage == Stage::ServiceName || m_stage == Stage::TeamName)
        return answerName(text);

    std::string allowed;
    std::size_t questions = 0;
    Stage next = Stage::ServiceName;
    if (m_stage == Stage::Site) {
        allowed = take(siteQuestions()[m_question], text, &m_answers.site);
        questions = siteQuestions().size();
    } else if (m_stage == Stage::Service) {
        allowed = take(serviceQuestions()[m_question], text, &m_answers.services.back());
        questions = serviceQuestions().size();
    } else {
        allowed = take(teamQuestions()[m_question], text, &m_answers.teams.back());
        questions = teamQuestions().size();
        next = Stage::TeamName;
    }
    if (!allowed.empty())
        return allowed;
    if (++m_question == questions) {
        m_question = 0;
        m_stage = next;
    }
    return {};
}

std::string Interview::answerName(std::string_view text)
{
    const bool isService = m_stage == Stage::ServiceName;
    if (text.empty()) {
        m_stage = isService ? Stage::TeamName : Stage::Done;
        return {};
    }
    if (text.find_first_of("[]/@ \t") != std::string_view::npos)
        return "a name of letters, digits, - _ .";
    m_question = 0;
    if (isService)
        m_answers.services.push_back({ .name = std::string(text) });
    else
        m_answers.teams.push_back({ .name = std::string(text) });
    m_stage = isService ? Stage::Service : Stage::Team;
    return {};
}

} // namespace acaciafork::questionnaire
