#pragma once

#include <array>
#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>

/// Identifiers and time types shared by all libraries.
namespace LaburnumFlow::Base {

/// Monotonic time since an arbitrary origin, in microseconds. Must not be compared between processes.
using MonoTime = std::chrono::microseconds;

/// Wall-clock time since the Unix epoch, in milliseconds.
using WallTime = std::chrono::milliseconds;

using Duration = std::chrono::microseconds;

/// A 128-bit id in the layout of RFC 9562, in network byte order.
struct Uuid {
    std::array<std::uint8_t, 16> bytes{};

    auto operator<=>(const Uuid &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(bytes);
    }
};

/// Identifies one incarnation of a process. The incarnation number differs after each restart.
struct ProcessId {
    std::string name;
    std::uint64_t incarnation = 0;

    auto operator<=>(const ProcessId &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(name, incarnation);
    }
};

/// An IP address and a port. An endpoint with an empty address is absent.
struct Endpoint {
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(address, port);
    }
};

/// Identifies a task by its submission and its position in the job.
struct TaskKey {
    Uuid submission;
    std::uint16_t index = 0;

    auto operator<=>(const TaskKey &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(submission, index);
    }
};

/// Identifies an attempt to run a task. Attempts are numbered from 1.
struct AttemptKey {
    TaskKey task;
    std::uint16_t attempt = 0;

    auto operator<=>(const AttemptKey &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(task, attempt);
    }
};

/// Hashes an id by its last eight bytes, which are random in a UUID of version 7.
struct UuidHash {
    std::size_t operator()(const Uuid &id) const noexcept
    {
        std::size_t value = 0;
        for (std::size_t i = 8; i < id.bytes.size(); ++i) {
            value = (value << 8U) | id.bytes[i];
        }
        return value;
    }
};

struct TaskKeyHash {
    std::size_t operator()(const TaskKey &key) const noexcept
    {
        return UuidHash{}(key.submission) ^ (static_cast<std::size_t>(key.index) * 0x9E3779B97F4A7C15ULL);
    }
};

struct AttemptKeyHash {
    std::size_t operator()(const AttemptKey &key) const noexcept
    {
        return TaskKeyHash{}(key.task) ^ (static_cast<std::size_t>(key.attempt) << 48U);
    }
};

} // namespace LaburnumFlow::Base
