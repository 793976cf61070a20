#pragma once

#include "events/entryeffects.h"
#include "problem.h"

namespace LaburnumFlow::HttpApi::Internal {

/// The HTTP answers to the effects that answer a request.
Response makeResponse(const Events::AnswerJob &effect);
Response makeResponse(const Events::AnswerStatus &effect);
Response makeResponse(const Events::AnswerOperator &effect);

} // namespace LaburnumFlow::HttpApi::Internal
