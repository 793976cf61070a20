#pragma once

#include "cluster.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Helpers to build a Step.
namespace LaburnumFlow::Cluster::Internal {

using LogFields = std::vector<std::pair<std::string_view, std::string>>;

inline void count(Step &step, std::string_view counter)
{
    step.effects.emplace_back(Events::Count{counter, 1});
}

inline void log(Step &step, std::string event, LogFields fields)
{
    step.effects.emplace_back(Events::LogLine{std::move(event), std::move(fields)});
}

/// Appends an incarnation and drops the oldest if there are more than \a maxKept.
inline void rememberIncarnation(std::vector<std::uint64_t> &former, std::uint64_t incarnation, std::size_t maxKept)
{
    former.push_back(incarnation);
    if (former.size() > maxKept) {
        former.erase(former.begin());
    }
}

inline bool contains(const std::vector<std::uint64_t> &values, std::uint64_t value)
{
    return std::find(values.begin(), values.end(), value) != values.end();
}

} // namespace LaburnumFlow::Cluster::Internal
