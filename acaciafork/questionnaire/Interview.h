#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "acaciafork/questionnaire/Answers.h"

namespace acaciafork::questionnaire {

/// The questionnaire one question at a time; it does no input or output itself. First come the
/// questions about the installation, then those about each service and each team, until an empty
/// name ends the list.
class Interview
{
public:
    /// What to show: the question, why it is asked, and the default in brackets.
    [[nodiscard]] std::string prompt() const;

    /// Takes the answer to the question shown; an empty one takes the default.
    /// @return what is allowed when the answer is wrong (the same question stands again), else
    /// empty
    std::string answer(std::string_view text);

    /// True once every question has been answered.
    [[nodiscard]] bool isDone() const { return m_stage == Stage::Done; }

    /// What has been answered.
    [[nodiscard]] const Answers &answers() const { return m_answers; }

private:
    enum class Stage : std::uint8_t { Site, ServiceName, Service, TeamName, Team, Done };

    std::string answerName(std::string_view text);

    Stage m_stage = Stage::Site;
    std::size_t m_question = 0;
    Answers m_answers;
};

} // namespace acaciafork::questionnaire
