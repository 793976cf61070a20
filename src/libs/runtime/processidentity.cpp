#include "processidentity.h"

#include "base/timerservice.h"

#include <random>

namespace LaburnumFlow::Runtime {

namespace {

constexpr unsigned randomBits = 20;

std::uint64_t randomNumber()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

} // namespace

Base::ProcessId makeProcessId(const std::string &name)
{
    const auto wall = static_cast<std::uint64_t>(Base::wallNow().count());
    return {name, (wall << randomBits) | (randomNumber() & ((1U << randomBits) - 1))};
}

std::uint64_t seedOrRandom(std::uint64_t seed)
{
    return seed != 0 ? seed : randomNumber();
}

Base::Endpoint withPort(Base::Endpoint endpoint, std::uint16_t boundPort)
{
    if (endpoint.port == 0) {
        endpoint.port = boundPort;
    }
    return endpoint;
}

std::string toText(const Base::Endpoint &endpoint)
{
    const bool isIpv6 = endpoint.address.find(':') != std::string::npos;
    return (isIpv6 ? "[" + endpoint.address + "]" : endpoint.address) + ":" + std::to_string(endpoint.port);
}

} // namespace LaburnumFlow::Runtime
