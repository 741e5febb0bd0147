#pragma once

#include <vector>

#include <boost/json/object.hpp>

#include "acaciafork/questionnaire/Answers.h"
#include "acaciafork/questionnaire/Generator.h"

namespace acaciafork::questionnaire {

/// The service as the replicated configuration holds it.
/// @param[in,out] explanations one is added for each value
boost::json::object deriveService(const ServiceAnswers &service, const SiteAnswers &site,
                                  std::vector<Explanation> *explanations);

/// The service's placement.
/// @param[in,out] explanations one is added for each value
boost::json::object derivePlacement(const ServiceAnswers &service,
                                    std::vector<Explanation> *explanations);

} // namespace acaciafork::questionnaire
