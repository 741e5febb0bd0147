#pragma once

#include <string>
#include <vector>

#include "acaciafork/questionnaire/Answers.h"

namespace acaciafork::questionnaire {

/// A file that the questionnaire writes.
struct GeneratedFile
{
    std::string name;
    std::string text;
};

/// Why one value is what it is.
struct Explanation
{
    /// File, or kind of file, such as "entry-*.ini".
    std::string file;
    std::string key;
    std::string value;
    std::string because;
};

/// Everything that follows from the answers.
struct Generated
{
    /// Settings for every process and for acaciaforkctl, and the documents to hand in: the
    /// configuration, and one for each placement and team.
    std::vector<GeneratedFile> files;
    std::vector<Explanation> explanations;
};

/// Derives all settings. The answers must have passed crossCheck().
Generated generate(const Answers &answers);

/// Page that says which value follows from which answer, as Markdown.
std::string explanationPage(const Generated &generated);

} // namespace acaciafork::questionnaire
