#include "net/requestchecks.h"

namespace figpulley::net
{
// Repeated Content-Length fields and transfer encodings other than chunked are ambiguous as well.
bool hasAmbiguousLength(const Headers &headers)
{
    int framings = 0;
    for (const auto &header : headers) {
        const bool isEncoding = equalsIgnoreCase(header.name, "Transfer-Encoding");
        if (isEncoding && !equalsIgnoreCase(header.value, "chunked")) {
            return true;
        }
        framings += isEncoding || equalsIgnoreCase(header.name, "Content-Length") ? 1 : 0;
    }
    return framings > 1;
}
} // namespace figpulley::net
