#include "agentharness.h"
#include "childprocess.h"

#include "agent/backendcall.h"
#include "agent/backendclient.h"

#include "../resettingserver.h"

#include <cppunit/extensions/HelperMacros.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <mutex>
#include <set>
#include <thread>

using namespace LaburnumFlow;
using namespace LaburnumFlow::Agent;

namespace {

constexpr auto eventTimeout = 60s; ///< Generous, as no check depends on how long something takes
constexpr auto counterCheckInterval = 1ms;

BackendStart makeStart(const Base::AttemptKey &key, const std::string &payload, std::uint32_t leaseMs = 120'000)
{
    return {key, "fold-preview", payload, leaseMs};
}

const std::string endlessPayload = R"({"runMs":600000})";

/// Backend client that collects the events it posts.
class Client
{
public:
    explicit Client(std::uint16_t port) : client_(makeBackendClient({"127.0.0.1", port}, counters_, [this](const Event &event) { post(event); })) { }

    ~Client()
    {
        client_.reset();
    }

    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    BackendServer *operator->()
    {
        return client_.get();
    }

    BackendTaskEnded waitForEnd(const Base::AttemptKey &key)
    {
        std::optional<BackendTaskEnded> found;
        waitUntil([&] {
            for (const BackendTaskEnded &ended : ended_) {
                found = ended.key == key ? ended : found;
            }
            return found.has_value();
        });
        return *found;
    }

    BackendStatus status()
    {
        std::size_t before = 0;
        {
            const std::lock_guard lock(mutex_);
            before = statuses_.size();
        }
        client_->queryStatus();
        waitUntil([&] { return statuses_.size() > before; });
        const std::lock_guard lock(mutex_);
        return statuses_.back();
    }

    std::size_t endCount()
    {
        const std::lock_guard lock(mutex_);
        return ended_.size();
    }

    /// Returns how many second sendings were sent and how many were prevented, once there is one.
    std::pair<std::uint64_t, std::uint64_t> waitForSecondSending()
    {
        const auto limit = std::chrono::steady_clock::now() + eventTimeout;
        while (secondSendings() == std::pair<std::uint64_t, std::uint64_t>{0, 0} && std::chrono::steady_clock::now() < limit) {
            std::this_thread::sleep_for(counterCheckInterval);
        }
        return secondSendings();
    }

private:
    void post(const Event &event)
    {
        const std::lock_guard lock(mutex_);
        if (const auto *ended = std::get_if<BackendTaskEnded>(&event)) {
            ended_.push_back(*ended);
        } else {
            statuses_.push_back(std::get<BackendStatus>(event));
        }
        changed_.notify_all();
    }

    void waitUntil(const std::function<bool()> &condition)
    {
        std::unique_lock lock(mutex_);
        CPPUNIT_ASSERT_MESSAGE("no matching event from the backend client within eventTimeout", changed_.wait_for(lock, eventTimeout, condition));
    }

    std::pair<std::uint64_t, std::uint64_t> secondSendings() const
    {
        const auto values = counters_.snapshot();
        return {values.at("backend.second-sending.sent"), values.at("backend.second-sending.prevented")};
    }

    Base::CounterRegistry counters_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<BackendTaskEnded> ended_;
    std::vector<BackendStatus> statuses_;
    std::unique_ptr<BackendServer> client_;
};

/// Process of the test backend server, with the file to which it writes a line for each start, end and stop.
struct TestBackendServer {
    explicit TestBackendServer(const std::vector<std::string> &arguments = {})
        : record(std::filesystem::temp_directory_path() / ("backendclient-" + std::to_string(::getpid()) + ".record"))
        , process("backendserver", withRecordArgument(arguments))
    {
    }

    std::vector<std::string> withRecordArgument(std::vector<std::string> arguments) const
    {
        std::filesystem::remove(record);
        arguments.insert(arguments.end(), {"--record", record.string()});
        return arguments;
    }

    /// Returns the number of lines in the record that begin with the word.
    std::size_t recordCount(const std::string &word) const
    {
        std::ifstream file(record);
        std::size_t n = 0;
        for (std::string line; std::getline(file, line);) {
            n += line.starts_with(word + " ") ? 1U : 0U;
        }
        return n;
    }

    /// Waits until the record has the given number of lines for the word. The round trip of a status call separates the checks.
    void waitForRecords(Client &client, const std::string &word, std::size_t n) const
    {
        const auto limit = std::chrono::steady_clock::now() + eventTimeout;
        while (recordCount(word) < n && std::chrono::steady_clock::now() < limit) {
            client.status();
        }
        CPPUNIT_ASSERT_EQUAL(n, recordCount(word));
    }

    std::filesystem::path record;
    ChildProcess process;
};

/// Accepts one connection at a time, answers the first request on it and closes the connection after reading the second.
class DisconnectingServer
{
public:
    DisconnectingServer() : listener_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        auto *generic = reinterpret_cast<sockaddr *>(&address);
        CPPUNIT_ASSERT(::bind(listener_, generic, size) == 0 && ::listen(listener_, 8) == 0 && ::getsockname(listener_, generic, &size) == 0);
        port_ = ntohs(address.sin_port);
        thread_ = std::thread([this] { serve(); });
    }

    ~DisconnectingServer()
    {
        ::shutdown(listener_, SHUT_RDWR);
        thread_.join();
        ::close(listener_);
    }

    DisconnectingServer(const DisconnectingServer &) = delete;
    DisconnectingServer &operator=(const DisconnectingServer &) = delete;

    std::uint16_t port() const
    {
        return port_;
    }

    int requests() const
    {
        return requests_;
    }

private:
    void serve()
    {
        for (int connection = 0; (connection = ::accept(listener_, nullptr, nullptr)) >= 0;) {
            if (readRequest(connection)) {
                const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"result\":1}";
                CPPUNIT_ASSERT_EQUAL(static_cast<ssize_t>(answer.size()), ::send(connection, answer.data(), answer.size(), MSG_NOSIGNAL));
                readRequest(connection);
            }
            ::close(connection);
        }
    }

    bool readRequest(int connection)
    {
        std::string text;
        char buffer[4096];
        // The body of every start request in these tests ends like this.
        while (text.find("\"leaseMs\":120000}") == std::string::npos) {
            const ssize_t n = ::recv(connection, buffer, sizeof(buffer), 0);
            if (n <= 0) {
                return false;
            }
            text.append(buffer, static_cast<std::size_t>(n));
        }
        ++requests_;
        return true;
    }

    int listener_;
    std::uint16_t port_ = 0;
    std::atomic<int> requests_{0};
    std::thread thread_;
};

std::string outcomeName(BackendOutcome outcome)
{
    constexpr const char *names[] = {"succeeded", "failed", "not started", "stopped", "lost"};
    return names[static_cast<std::size_t>(outcome)];
}

void expectEnd(Client &client, const Base::AttemptKey &key, BackendOutcome outcome)
{
    CPPUNIT_ASSERT_EQUAL(outcomeName(outcome), outcomeName(client.waitForEnd(key).outcome));
}

} // namespace

class TestBackendClient : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestBackendClient);
    CPPUNIT_TEST(outcomes);
    CPPUNIT_TEST(leaseRenewal);
    CPPUNIT_TEST(refusals);
    CPPUNIT_TEST(manyAtOnce);
    CPPUNIT_TEST(stopRightAfterStart);
    CPPUNIT_TEST(noServer);
    CPPUNIT_TEST(killedServer);
    CPPUNIT_TEST(hungServer);
    CPPUNIT_TEST(noRepetition);
    CPPUNIT_TEST(secondSendings);
    CPPUNIT_TEST(lateCall);
    CPPUNIT_TEST(gracefulEnd);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against reporting a wrong outcome. Covers results, failures, an expired lease, a malformed and an empty payload.
    void outcomes()
    {
        struct Row {
            std::string payload;
            std::uint32_t leaseMs;
            BackendOutcome outcome;
        };
        const Row rows[] = {
            {R"({"runMs":5,"sheet":"A7"})", 120'000, BackendOutcome::Succeeded},
            {R"({"runMs":5,"fail":true})", 120'000, BackendOutcome::Failed},
            {endlessPayload, 20, BackendOutcome::Stopped},
            {"{malformed", 120'000, BackendOutcome::Failed},
            {"", 120'000, BackendOutcome::Succeeded},
        };
        const TestBackendServer server({"--kind", "fold-preview=5", "--speed", "2"});
        Client client(server.process.port());
        std::uint8_t n = 0;
        for (const Row &row : rows) {
            const Base::AttemptKey key = makeAttemptKey(++n);
            client->start(makeStart(key, row.payload, row.leaseMs));
            expectEnd(client, key, row.outcome);
        }
        const std::string result = client.waitForEnd(makeAttemptKey(1)).result;
        CPPUNIT_ASSERT_MESSAGE(result, result.find(R"("sheet":"A7")") != std::string::npos && result.find(R"("kind":"fold-preview")") != std::string::npos);
        CPPUNIT_ASSERT(client.waitForEnd(makeAttemptKey(2)).result.find("failed on request") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, server.recordCount("start"));
    }

    /// Guards against lease renewals that do not reach the task, which then ends with its first lease.
    void leaseRenewal()
    {
        const TestBackendServer server;
        Client client(server.process.port());
        client->start(makeStart(makeAttemptKey(1), R"({"runMs":3000})", 2000));
        server.waitForRecords(client, "start", 1);
        client->renew({makeAttemptKey(1), 120'000});
        client->throttle({makeAttemptKey(1), 0.5});
        client->throttle({makeAttemptKey(1), 1.0});
        client->checkpoint({makeAttemptKey(1)});
        expectEnd(client, makeAttemptKey(1), BackendOutcome::Succeeded);
    }

    /// Guards against reporting a refused task as lost, and against missing that the backend server is leaving. The backend
    /// server refuses with 429 when its slots are full and with 503 when it leaves.
    void refusals()
    {
        const TestBackendServer server({"--slots", "1", "--kind", "fold-preview=5", "--announce-kinds"});
        Client client(server.process.port());
        client->start(makeStart(makeAttemptKey(1), endlessPayload));
        server.waitForRecords(client, "start", 1);
        client->start(makeStart(makeAttemptKey(2), ""));
        expectEnd(client, makeAttemptKey(2), BackendOutcome::NotStarted);
        BackendStatus status = client.status();
        CPPUNIT_ASSERT(status.state == BackendState::Serving && status.slots == 1 && status.kinds == std::vector<std::string>{"fold-preview"});
        server.process.signal(SIGTERM);
        while ((status = client.status()).state == BackendState::Serving) {
        }
        CPPUNIT_ASSERT(status.state == BackendState::Leaving);
        client->start(makeStart(makeAttemptKey(3), ""));
        expectEnd(client, makeAttemptKey(3), BackendOutcome::NotStarted);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server.recordCount("start"));
    }

    /// Guards against a limit on parallel connections, which would make tasks wait for one another.
    void manyAtOnce()
    {
        const TestBackendServer server({"--slots", "64"});
        Client client(server.process.port());
        for (std::uint8_t n = 0; n < 64; ++n) {
            client->start(makeStart(makeAttemptKey(n), endlessPayload));
        }
        server.waitForRecords(client, "start", 64);
        for (std::uint8_t n = 0; n < 64; ++n) {
            client->stop({makeAttemptKey(n)});
        }
        for (std::uint8_t n = 0; n < 64; ++n) {
            expectEnd(client, makeAttemptKey(n), BackendOutcome::Stopped);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{64}, client.endCount());
    }

    /// Guards against a task that keeps running because its stop, on another connection, reached the backend server first.
    void stopRightAfterStart()
    {
        const TestBackendServer server;
        Client client(server.process.port());
        for (std::uint8_t n = 0; n < 50; ++n) {
            client->start(makeStart(makeAttemptKey(n), endlessPayload));
            client->stop({makeAttemptKey(n)});
            expectEnd(client, makeAttemptKey(n), BackendOutcome::Stopped);
        }
    }

    /// Guards against reporting a task as lost if no connection could be made, since it has certainly not started.
    void noServer()
    {
        std::uint16_t port = 0;
        {
            const DisconnectingServer closed;
            port = closed.port();
        }
        Client client(port);
        client->start(makeStart(makeAttemptKey(1), endlessPayload));
        expectEnd(client, makeAttemptKey(1), BackendOutcome::NotStarted);
        CPPUNIT_ASSERT(client.status().state == BackendState::Unreachable);
    }

    /// Guards against reporting a task as not started that was running when the backend server was killed.
    void killedServer()
    {
        TestBackendServer server;
        Client client(server.process.port());
        client->start(makeStart(makeAttemptKey(1), endlessPayload));
        server.waitForRecords(client, "start", 1);
        server.process.signal(SIGKILL);
        expectEnd(client, makeAttemptKey(1), BackendOutcome::Lost);
        CPPUNIT_ASSERT_EQUAL(-1, server.process.wait());
        client->start(makeStart(makeAttemptKey(2), endlessPayload));
        expectEnd(client, makeAttemptKey(2), BackendOutcome::NotStarted);
    }

    /// Guards against a status call without a timeout: this backend server accepts calls but never responds.
    void hungServer()
    {
        const TestBackendServer server({"--hang"});
        Client client(server.process.port());
        client->start(makeStart(makeAttemptKey(1), endlessPayload));
        CPPUNIT_ASSERT(client.status().state == BackendState::Unreachable);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, client.endCount());
    }

    /// Guards against a second start of a task. libcurl repeats a request by itself when a reused connection breaks before the
    /// response.
    void noRepetition()
    {
        const DisconnectingServer server;
        Client client(server.port());
        client->start(makeStart(makeAttemptKey(1), "1"));
        expectEnd(client, makeAttemptKey(1), BackendOutcome::Succeeded);
        client->start(makeStart(makeAttemptKey(2), "2"));
        expectEnd(client, makeAttemptKey(2), BackendOutcome::Lost);
        CPPUNIT_ASSERT_EQUAL(2, server.requests());
        CPPUNIT_ASSERT(client.waitForSecondSending() == std::pair(std::uint64_t{0}, std::uint64_t{1}));
    }

    /// Guards against a second sending of a call that is not idempotent, against one that a broken connection ends though it may be sent again, and against second
    /// sendings that nobody counts.
    void secondSendings()
    {
        const struct {
            std::string name;
            std::function<void(BackendServer &)> call;
            bool sentAgain;
        } cases[] = {
            {"status", [](BackendServer &backend) { backend.queryStatus(); }, true},
            {"stop", [](BackendServer &backend) { backend.stop({makeAttemptKey(1)}); }, true},
            {"renew",
             [](BackendServer &backend) {
                 backend.renew({makeAttemptKey(1), 2000});
             },
             false},
            {"throttle",
             [](BackendServer &backend) {
                 backend.throttle({makeAttemptKey(1), 0.5});
             },
             false},
            {"checkpoint", [](BackendServer &backend) { backend.checkpoint({makeAttemptKey(1)}); }, false},
        };
        for (const auto &row : cases) {
            const Testing::ResettingServer server(Testing::AnswerCalls{});
            Client client(server.port());
            client.status();
            row.call(*client.operator->());
            const std::pair<std::uint64_t, std::uint64_t> expected(row.sentAgain ? 1 : 0, row.sentAgain ? 0 : 1);
            CPPUNIT_ASSERT_MESSAGE(row.name, client.waitForSecondSending() == expected);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::size_t{row.sentAgain ? 3U : 2U}, server.calls().size());
        }
    }

    /// Guards against a start that is sent late, after the agent's process was suspended or had waited for a connection, when its owner already counts its
    /// lease as ended.
    void lateCall()
    {
        const TestBackendServer server;
        Client client(server.process.port());
        const std::string url = "http://127.0.0.1:" + std::to_string(server.process.port()) + "/tasks/late";
        Internal::BackendCall call(Internal::CallKind::Start, makeAttemptKey(1), "PUT", url, R"({"kind":"fold-preview","payload":{"runMs":5},"leaseMs":2000})");
        std::this_thread::sleep_for(Protocol::leaseMargin);
        call.finish(curl_easy_perform(call.handle()));
        CPPUNIT_ASSERT_EQUAL(outcomeName(BackendOutcome::NotStarted), outcomeName(call.taskEnded().outcome));
        client.status();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server.recordCount("start"));
    }

    /// Guards against a test backend server that interrupts tasks on SIGTERM, which would hide faults of the agent's drain.
    void gracefulEnd()
    {
        TestBackendServer server;
        Client client(server.process.port());
        client->start(makeStart(makeAttemptKey(1), R"({"runMs":500})"));
        server.waitForRecords(client, "start", 1);
        server.process.signal(SIGTERM);
        expectEnd(client, makeAttemptKey(1), BackendOutcome::Succeeded);
        CPPUNIT_ASSERT_EQUAL(0, server.process.wait());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestBackendClient);
