#pragma once

#include "ownerchangemodel.h"

#include <cstdint>

namespace LaburnumFlow::EntryNode::Testing {

/// The rules that a test checks.
enum class CheckedRules {
    All,
    AcknowledgedEnds, ///< Without the rule that a task doesn't run twice at a time.
};

/// Plays the model with each of the given number of seeds from 1 and prints the violations of each seed that has any. Fails the test if one has, or if too
/// few owners change or tasks start to tell.
///
/// The environment variables LABURNUMFLOW_FIRST_SEED and LABURNUMFLOW_SEEDS set other seeds. With LABURNUMFLOW_MODEL_LOG set, the logs of failed seeds are
/// printed.
void checkSeeds(const ModelOptions &options, std::uint64_t seeds, Base::Duration time, CheckedRules rules = CheckedRules::All);

/// Plays the model with each of the given number of seeds from 1. Returns the number of those that violate a rule.
std::size_t countFailedSeeds(const ModelOptions &options, std::uint64_t seeds, Base::Duration time);

/// Returns the settings of workers that refuse calls and whose connections are reset after they have executed some.
ModelOptions lostAnswers();

/// Lets workers restart and refuse connections meanwhile.
ModelOptions withWorkerRestarts(ModelOptions options);

} // namespace LaburnumFlow::EntryNode::Testing
