#include "route.h"

#include <span>
#include <vector>

namespace LaburnumFlow::HttpApi {

namespace {

using Segments = std::span<const std::string_view>;

std::vector<std::string_view> split(std::string_view path)
{
    std::vector<std::string_view> segments;
    while (!path.empty()) {
        path.remove_prefix(1);
        const std::size_t end = std::min(path.find('/'), path.size());
        segments.push_back(path.substr(0, end));
        path.remove_prefix(end);
    }
    return segments;
}

template<class T>
Route only(std::string_view method, std::string_view allowed, T route)
{
    if (method != allowed) {
        return WrongMethod{allowed};
    }
    return route;
}

Route teamRoute(std::string_view method, Segments segments)
{
    if (segments.size() < 2 || segments[0].empty() || segments[1] != "jobs") {
        return NoSuchPath{};
    }
    const std::string team(segments[0]);
    if (segments.size() == 2) {
        return only(method, "POST", SubmitRoute{team});
    }
    if (segments.size() != 3) {
        return NoSuchPath{};
    }
    const std::string id(segments[2]);
    if (method == "DELETE") {
        return JobRoute{team, id, true};
    }
    if (method != "GET") {
        return WrongMethod{"GET, DELETE"};
    }
    return JobRoute{team, id, false};
}

Route subtreeRoute(std::string_view method, std::string team, Segments rest)
{
    if (rest.empty()) {
        if (method == "PUT") {
            return SettingsRoute{SettingsAction::Put, std::move(team)};
        }
        if (method != "GET") {
            return WrongMethod{"GET, PUT"};
        }
        return SettingsRoute{SettingsAction::Get, std::move(team)};
    }
    if (rest.size() != 1) {
        return NoSuchPath{};
    }
    if (rest[0] == "check") {
        return only(method, "POST", SettingsRoute{SettingsAction::Check, std::move(team)});
    }
    if (rest[0] == "rollback") {
        return only(method, "POST", SettingsRoute{SettingsAction::Rollback, std::move(team)});
    }
    if (rest[0] == "explain") {
        return only(method, "GET", SettingsRoute{SettingsAction::Explain, std::move(team)});
    }
    return NoSuchPath{};
}

Route settingsRoute(std::string_view method, Segments segments)
{
    if (segments.empty()) {
        return only(method, "GET", SettingsRoute{SettingsAction::List, {}});
    }
    if (segments[0] == "root") {
        return subtreeRoute(method, {}, segments.subspan(1));
    }
    if (segments[0] == "teams" && segments.size() > 1 && !segments[1].empty()) {
        return subtreeRoute(method, std::string(segments[1]), segments.subspan(2));
    }
    return NoSuchPath{};
}

Route singleRoute(std::string_view method, std::string_view name)
{
    if (name == "health") {
        return only(method, "GET", HealthRoute{});
    }
    if (name == "counters") {
        return only(method, "GET", CountersRoute{});
    }
    if (name == "status") {
        return only(method, "GET", StatusRoute{});
    }
    if (name == "workers") {
        return only(method, "GET", WorkersRoute{});
    }
    if (name == "drain") {
        return only(method, "POST", DrainRoute{});
    }
    return NoSuchPath{};
}

} // namespace

Route findRoute(std::string_view method, std::string_view path)
{
    if (path.empty() || path.front() != '/') {
        return NoSuchPath{};
    }
    const std::vector<std::string_view> all = split(path);
    const Segments segments(all);
    if (segments.size() < 2 || segments[0] != "v1") {
        return NoSuchPath{};
    }
    if (segments[1] == "teams") {
        return teamRoute(method, segments.subspan(2));
    }
    if (segments[1] == "settings") {
        return settingsRoute(method, segments.subspan(2));
    }
    if (segments[1] == "entries" && segments.size() == 4 && segments[3] == "confirm-dead") {
        return only(method, "POST", ConfirmDeadRoute{std::string(segments[2])});
    }
    if (segments.size() != 2) {
        return NoSuchPath{};
    }
    return singleRoute(method, segments[1]);
}

} // namespace LaburnumFlow::HttpApi
