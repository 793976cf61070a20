#pragma once

#include "agentharness.h"

#include <cppunit/TestAssert.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace LaburnumFlow::Agent {

inline const Base::AttemptKey key1 = makeAttemptKey(1);

/// Returns the sum of the increments of the counter by all events so far.
inline std::uint64_t counterTotal(const Harness &agent, std::string_view counter)
{
    std::uint64_t n = 0;
    for (const Count &count : agent.effectsOfType<Count>()) {
        n += count.counter == counter ? count.increment : 0;
    }
    return n;
}

/// Checks the state and reason of the newest update about the attempt to the entry, or that there is none if state is empty.
inline void expectUpdate(const Harness &agent,
                         const std::string &what,
                         const std::string &entry,
                         const Base::AttemptKey &key,
                         std::optional<AttemptState> state,
                         AgentReason reason = AgentReason::None)
{
    const auto update = agent.newestUpdateTo(entry, key);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(what, state.has_value(), update.has_value());
    if (state) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(what, std::string(toString(*state)), std::string(toString(update->state)));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(what, std::string(toString(reason)), std::string(toString(update->reason)));
    }
}

} // namespace LaburnumFlow::Agent
