#include "platform/callerdialect.h"

#include <cstddef>
#include <cstdint>
#include <string>

using namespace LaburnumFlow;

/// Guards against a caller's path or body that ends the entry's process.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    static const auto rules = Platform::parseRules(R"({"Version":1,"Routes":[{"Name":"r","Host":"h","Prefix":"/p/","Service":"s"}]})");
    const std::string text(reinterpret_cast<const char *>(data), size);
    Platform::decodeCall({1, "POST", "/p/5c0e7a21d94b36f8", "h", text, {}}, &rules->table);
    Platform::decodeCall({1, "GET", "/p/" + text, "h", {}, {}}, &rules->table);
    return 0;
}
