#pragma once

#include "schemareader.h"

#include "base/types.h"

#include <optional>
#include <string_view>

namespace LaburnumFlow::Settings::Internal {

constexpr std::string_view anyAddress = "0.0.0.0"; ///< of a socket that listens on all addresses

/// Where an endpoint is used decides what it may be.
enum class EndpointUse {
    Listening, ///< any local address, port 0 lets the kernel choose
    Connecting, ///< others connect to it, so address and port are definite
};

std::string_view acceptedEndpoints(EndpointUse use);

/// Nothing unless the text is an IPv4 address and a port that are accepted for the use.
std::optional<Base::Endpoint> parseEndpoint(std::string_view text, EndpointUse use);

/// Returns whether the key is present with an accepted value.
bool readEndpoint(MapReader &reader, std::string_view key, EndpointUse use, Base::Endpoint &target);

} // namespace LaburnumFlow::Settings::Internal
