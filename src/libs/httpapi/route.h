#pragma once

#include "base/types.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace LaburnumFlow::HttpApi {

struct SubmitRoute {
    std::string team;
};

/// GET or DELETE of a job.
struct JobRoute {
    std::string team;
    std::string id;
    bool cancel = false;
};

struct HealthRoute {
};
struct CountersRoute {
};
struct StatusRoute {
};
struct WorkersRoute {
};
struct DrainRoute {
};

struct ConfirmDeadRoute {
    std::string entry;
};

enum class SettingsAction : std::uint8_t {
    List,
    Get,
    Put,
    Check,
    Rollback,
    Explain,
};

/// An operator's call on one subtree; an empty team is the root.
struct SettingsRoute {
    SettingsAction action = SettingsAction::Get;
    std::string team;
};

struct NoSuchPath {
};

struct WrongMethod {
    std::string_view allowed;
};

using Route = std::
    variant<SubmitRoute, JobRoute, HealthRoute, CountersRoute, StatusRoute, WorkersRoute, DrainRoute, ConfirmDeadRoute, SettingsRoute, NoSuchPath, WrongMethod>;

/// Finds what a request asks for by its method and its decoded path.
Route findRoute(std::string_view method, std::string_view path);

} // namespace LaburnumFlow::HttpApi
