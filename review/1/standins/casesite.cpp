#include "casesite.h"

#include "auto/freeport.h"
#include "auto/system/httpcall.h"

#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace Review {

namespace {

const std::string loopback = "127.0.0.1";

std::string freePort()
{
    return std::to_string(LaburnumFlow::Testing::freePort());
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Returns the command of a role from the deploy file, split at spaces.
std::vector<std::string> commandOf(const std::string &deployFile, const std::string &role)
{
    std::istringstream lines(readFile(deployFile));
    bool inRole = false;
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with("[")) {
            inRole = line == "[roles." + role + "]";
        }
        if (inRole && line.starts_with("run = \"")) {
            std::istringstream words(line.substr(7, line.rfind('"') - 7));
            std::vector<std::string> command;
            for (std::string word; words >> word;) {
                command.push_back(word);
            }
            return command;
        }
    }
    throw std::runtime_error("the deploy file has no role " + role);
}

bool isNumber(const std::string &text)
{
    return !text.empty() && text.find_first_not_of("0123456789.") == std::string::npos && text.find('.') == text.rfind('.');
}

void replaceAll(std::string &text, const std::string &from, const std::string &to)
{
    for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
    }
}

/// Removes a section that is there only if the field has a value.
void removeSection(std::string &text, const std::string &field)
{
    const std::size_t begin = text.find("{{#" + field + "}}");
    const std::string closing = "{{/" + field + "}}";
    const std::size_t end = text.find(closing);
    if (begin != std::string::npos && end != std::string::npos) {
        text.erase(begin, end + closing.size() - begin);
    }
}

[[noreturn]] void execute(const std::vector<std::string> &command, const std::string &root, const std::string &settings, const std::string &log)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    if (chdir(root.c_str()) != 0) {
        _exit(127);
    }
    std::vector<char *> arguments;
    for (const std::string &word : command) {
        arguments.push_back(const_cast<char *>(word.c_str()));
    }
    arguments.push_back(nullptr);
    std::vector<std::string> settingsOfProcess{"LABURNUMFLOW_NODE_FILE=" + settings};
    for (const char *name : {"PATH", "HOME", "LANG"}) {
        if (const char *value = std::getenv(name)) {
            settingsOfProcess.push_back(std::string(name) + '=' + value);
        }
    }
    std::vector<char *> environment;
    for (std::string &variable : settingsOfProcess) {
        environment.push_back(variable.data());
    }
    environment.push_back(nullptr);
    execve(arguments[0], arguments.data(), environment.data());
    _exit(127);
}

} // namespace

CaseSite::CaseSite(std::string root, Record &record) : root_(std::move(root)), record_(record)
{
    std::string folder = (std::filesystem::temp_directory_path() / "laburnumreview-XXXXXX").string();
    if (mkdtemp(folder.data()) == nullptr) {
        throw std::runtime_error("no temporary folder");
    }
    folder_ = folder;
}

CaseSite::~CaseSite()
{
    for (const pid_t pid : pids_) {
        kill(pid, SIGKILL);
        kill(pid, SIGCONT);
        waitpid(pid, nullptr, 0);
    }
    workers_.clear();
    if (const char *kept = std::getenv("KEEP_LOGS")) {
        std::filesystem::copy(folder_, kept, std::filesystem::copy_options::recursive | std::filesystem::copy_options::overwrite_existing);
    }
    std::filesystem::remove_all(folder_);
}

void CaseSite::putConfig(int version, int maxAttempts)
{
    const nlohmann::json route{{"Name", "q"},
                               {"Host", "q.example"},
                               {"Prefix", "/q/"},
                               {"Service", service},
                               {"Kind", "non_idempotent"},
                               {"TimeoutMs", 1500},
                               {"Priority", 0},
                               {"MaxAttempts", maxAttempts},
                               {"Stretch", 1.6},
                               {"TargetDurationMs", 60}};
    const nlohmann::json config{{"Version", version},
                                {"Routes", {route}},
                                {"Services", {{{"Name", service}, {"HealthPath", "/health"}, {"MaxConns", 64}, {"AdmissionCheck", true}}}},
                                {"Limits", {{"MaxHeaderBytes", 8192}, {"MaxBodyBytes", 262144}}}};
    store.put("op/config", config.dump());
}

std::string CaseSite::fill(const std::string &text, const Fields &fields) const
{
    std::string filled = text;
    removeSection(filled, "Advice");
    for (const auto &[name, value] : fields) {
        replaceAll(filled, "{{" + name + "|json}}", isNumber(value) ? value : nlohmann::json(value).dump());
        replaceAll(filled, "{{" + name + "}}", value);
    }
    if (filled.find("{{") != std::string::npos) {
        throw std::runtime_error("a placeholder of the template isn't known: " + filled.substr(filled.find("{{"), 40));
    }
    return filled;
}

pid_t CaseSite::start(const std::string &role, const std::string &name, Fields fields)
{
    const Fields common{{"NodeName", name},
                        {"Ip", loopback},
                        {"PortRange.0", freePort()},
                        {"PortRange.1", freePort()},
                        {"Limits.LinkMbps", "1000"},
                        {"Bounds.GraceS", "6"},
                        {"Bounds.RemoteFactor", "1.5"},
                        {"Bounds.status_s", "120"},
                        {"Bounds.ResendMs", "1300"},
                        {"platform.Address", store.endpoint()},
                        {"platform.TtlMinMs", "1000"}};
    fields.insert(common.begin(), common.end());
    const std::string settings = folder_ + "/" + name + ".yaml";
    std::ofstream(settings) << fill(readFile(root_ + "/deploy/" + role + ".yaml"), fields);
    const std::vector<std::string> command = commandOf(root_ + "/deploy/system.toml", role);
    const pid_t pid = fork();
    if (pid == 0) {
        execute(command, root_, settings, folder_ + "/" + name + ".log");
    }
    pids_.push_back(pid);
    return pid;
}

void CaseSite::startEntries(int count)
{
    const std::vector<std::string> zones{"ikeja", "lekki", "ibadan"};
    for (int i = 0; i < count; ++i) {
        const std::string zone = zones[static_cast<std::size_t>(i) % zones.size()];
        fronts_.push_back(loopback + ":" + freePort());
        ready_.push_back(loopback + ":" + freePort());
        entryPids_.push_back(start("entry",
                                   "frontend-" + zone + "-" + std::to_string(i + 1),
                                   {{"Zone", zone}, {"Limits.CpuShare", "0.25"}, {"Listen.Front", fronts_.back()}, {"Listen.Ready", ready_.back()}}));
    }
}

CaseWorker &CaseSite::addWorker(WorkerShape shape)
{
    shape.service = service;
    const std::string control = loopback + ":" + freePort();
    workers_.push_back(std::make_unique<CaseWorker>(std::move(shape), gangs, record_));
    CaseWorker &worker = *workers_.back();
    agentPids_.push_back(
        start("agent", "side-" + worker.shape().id, {{"Zone", "ikeja"}, {"Limits.CpuShare", "0.15"}, {"Listen.Control", control}, {"app", worker.endpoint()}}));
    worker.reportTo(control);
    return worker;
}

bool CaseSite::waitUntilReady()
{
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (std::chrono::steady_clock::now() < limit) {
        bool ready = true;
        for (const std::string &address : ready_) {
            ready = ready && SystemTest::call("GET", address, "/ready", {}, {}, 1000).status == 200;
        }
        if (ready) {
            // The traffic begins 10 s after the machines start; by then the agents have found the owner.
            std::this_thread::sleep_for(std::chrono::seconds(4));
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
    }
    return false;
}

bool CaseSite::hasCrashed()
{
    for (const pid_t pid : pids_) {
        siginfo_t info{};
        if (waitid(P_PID, static_cast<id_t>(pid), &info, WEXITED | WNOHANG | WNOWAIT) == 0 && info.si_pid == pid) {
            return true;
        }
    }
    return false;
}

} // namespace Review
