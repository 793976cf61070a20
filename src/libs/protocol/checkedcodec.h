#pragma once

#include <boost/leaf.hpp>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/array.hpp>
#include <xxhash.h>

#include <array>
#include <cstdint>
#include <cstring>
#include <istream>
#include <ostream>
#include <span>
#include <streambuf>
#include <typeinfo>
#include <vector>

/// Serializes any type that cereal supports, with a checksum.
namespace LaburnumFlow::Protocol {

/// Error: the bytes are not a well-formed value of the expected type.
struct MalformedMessage {
    std::size_t size = 0; ///< number of bytes given
};

namespace Internal {

class ReadBuffer : public std::streambuf
{
public:
    explicit ReadBuffer(std::span<const std::uint8_t> bytes)
    {
        // The get area is never written to; std::streambuf has no const form.
        auto *begin = const_cast<char *>(reinterpret_cast<const char *>(bytes.data()));
        setg(begin, begin, begin + bytes.size());
    }

    bool atEnd() const
    {
        return gptr() == egptr();
    }
};

class WriteBuffer : public std::streambuf
{
public:
    std::vector<std::uint8_t> take()
    {
        return std::move(bytes_);
    }

protected:
    std::streamsize xsputn(const char *data, std::streamsize size) override
    {
        bytes_.insert(bytes_.end(), data, data + size);
        return size;
    }

    int_type overflow(int_type c) override
    {
        if (!traits_type::eq_int_type(c, traits_type::eof())) {
            bytes_.push_back(static_cast<std::uint8_t>(c));
        }
        return traits_type::not_eof(c);
    }

private:
    std::vector<std::uint8_t> bytes_;
};

constexpr std::size_t checksumBytes = sizeof(XXH64_canonical_t);

using Checksum = std::array<std::uint8_t, checksumBytes>;

/// Returns the xxhash64 of the bytes. The seed differs between types, so that a value of one type is not decoded as another, with absurd lengths.
inline Checksum checksumOf(std::span<const std::uint8_t> bytes, std::uint64_t seed)
{
    XXH64_canonical_t canonical;
    XXH64_canonicalFromHash(&canonical, XXH64(bytes.data(), bytes.size(), seed));
    Checksum checksum;
    std::memcpy(checksum.data(), canonical.digest, checksumBytes);
    return checksum;
}

/// Returns the seed of the type's checksums. It depends on the type's C++ name, so that renaming the type makes processes of other versions and stored records
/// unreadable.
template<class T>
std::uint64_t seedOf()
{
    const char *name = typeid(T).name();
    return XXH64(name, std::strlen(name), 0);
}

inline bool endsWithChecksum(std::span<const std::uint8_t> bytes, std::uint64_t seed)
{
    if (bytes.size() < checksumBytes) {
        return false;
    }
    const auto payload = bytes.first(bytes.size() - checksumBytes);
    const Checksum expected = checksumOf(payload, seed);
    return std::memcmp(expected.data(), bytes.data() + payload.size(), checksumBytes) == 0;
}

} // namespace Internal

/// Serializes the value with cereal's portable binary archive and appends a checksum of the bytes.
template<class T>
std::vector<std::uint8_t> encodeValue(const T &value)
{
    Internal::WriteBuffer buffer;
    std::ostream stream(&buffer);
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(value);
    std::vector<std::uint8_t> bytes = buffer.take();
    const Internal::Checksum checksum = Internal::checksumOf(bytes, Internal::seedOf<T>());
    bytes.insert(bytes.end(), checksum.begin(), checksum.end());
    return bytes;
}

/// Decodes the result of encodeValue(). Fails with MalformedMessage if the checksum does not match or the bytes don't form exactly one value.
template<class T>
boost::leaf::result<T> decodeValue(std::span<const std::uint8_t> bytes)
{
    // Without the checksum a corrupt length field makes cereal resize a container to millions of elements.
    if (!Internal::endsWithChecksum(bytes, Internal::seedOf<T>())) {
        return boost::leaf::new_error(MalformedMessage{bytes.size()});
    }
    Internal::ReadBuffer buffer(bytes.first(bytes.size() - Internal::checksumBytes));
    std::istream stream(&buffer);
    try {
        T value;
        cereal::PortableBinaryInputArchive archive(stream);
        archive(value);
        if (!buffer.atEnd()) {
            return boost::leaf::new_error(MalformedMessage{bytes.size()});
        }
        return value;
    } catch (const cereal::Exception &) {
        return boost::leaf::new_error(MalformedMessage{bytes.size()});
    }
}

} // namespace LaburnumFlow::Protocol
