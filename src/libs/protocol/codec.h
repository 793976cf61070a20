#pragma once

#include "checkedcodec.h"
#include "messages.h"

#include <boost/leaf.hpp>

#include <cstdint>
#include <span>
#include <vector>

namespace LaburnumFlow::Protocol {

/// Serializes with cereal's portable binary archive and appends an xxhash64 of it.
std::vector<std::uint8_t> encode(const Datagram &datagram);
std::vector<std::uint8_t> encode(const LinkMessage &message);

/// Fails with MalformedMessage, also when the checksum does not match.
boost::leaf::result<Datagram> decodeDatagram(std::span<const std::uint8_t> bytes);
boost::leaf::result<LinkMessage> decodeLinkMessage(std::span<const std::uint8_t> bytes);

} // namespace LaburnumFlow::Protocol
