#pragma once

/// Public header of the questionnaire library: questions in plain words, answers, and the settings
/// that follow from them.

#include "acaciafork/questionnaire/Answers.h"
#include "acaciafork/questionnaire/Generator.h"
#include "acaciafork/questionnaire/Interview.h"
#include "acaciafork/questionnaire/Questions.h"
