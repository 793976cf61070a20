#include "storeprocess.h"

#include "base/timerservice.h"

#include <cppunit/TestAssert.h>
#include <nlohmann/json.hpp>

#include <poll.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>

namespace LaburnumFlow::Store {

namespace {

using namespace std::chrono_literals;

constexpr Base::Duration timeout = 30s;

std::string programPath()
{
    const char *folder = std::getenv("LABURNUMFLOW_BIN");
    CPPUNIT_ASSERT_MESSAGE("LABURNUMFLOW_BIN is not set", folder != nullptr);
    return std::string(folder) + "/platformstore";
}

/// Reads the port from the first line of the program's output, "port=N".
std::uint16_t readPort(int output)
{
    constexpr std::string_view prefix = "port=";
    std::string line;
    pollfd ready{output, POLLIN, 0};
    char next = 0;
    while (poll(&ready, 1, 30'000) > 0 && read(output, &next, 1) == 1 && next != '\n') {
        line.push_back(next);
    }
    CPPUNIT_ASSERT_MESSAGE(line, line.starts_with(prefix));
    return static_cast<std::uint16_t>(std::stoi(line.substr(prefix.size())));
}

} // namespace

StoreProcess::StoreProcess()
{
    const std::string path = programPath();
    std::array<int, 2> output{};
    CPPUNIT_ASSERT(pipe(output.data()) == 0);
    child_ = fork();
    if (child_ == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        dup2(output[1], STDOUT_FILENO);
        close(output[0]);
        close(output[1]);
        execl(path.c_str(), path.c_str(), "--port", "0", nullptr);
        _exit(127);
    }
    close(output[1]);
    port_ = readPort(output[0]);
    close(output[0]);
    caller_ = std::make_unique<Internal::HttpCaller>(settings().endpoint, secondSendings_);
}

StoreProcess::~StoreProcess()
{
    kill(child_, SIGKILL);
    waitpid(child_, nullptr, 0);
}

Settings::EtcdStoreSettings StoreProcess::settings() const
{
    return {{"127.0.0.1", port_}, 30'000, 10'000, 10'000};
}

std::string StoreProcess::post(const char *path, const std::string &json)
{
    const auto response = caller_->post(path, json, timeout, Internal::Idempotent::Yes);
    CPPUNIT_ASSERT_MESSAGE(json, response && response->status == 200);
    return response->body;
}

void StoreProcess::control(const std::string &json)
{
    post("/control", json);
}

std::int64_t StoreProcess::stat(const char *name)
{
    return nlohmann::json::parse(post("/stats", "")).at(name).get<std::int64_t>();
}

bool StoreProcess::waitForStat(const char *name, std::int64_t value)
{
    const Base::MonoTime end = Base::monoNow() + timeout;
    while (stat(name) != value) {
        if (Base::monoNow() > end) {
            return false;
        }
    }
    return true;
}

} // namespace LaburnumFlow::Store
