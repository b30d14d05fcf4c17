#include "net/requestchecks.h"

namespace figpulley::net
{
// Besides Transfer-Encoding together with Content-Length, repeated fields and transfer encodings other than chunked are ambiguous.
bool hasAmbiguousLength(const Headers &headers)
{
    int framingHeaders = 0;
    for (const auto &header : headers) {
        const bool isEncoding = equalsIgnoreCase(header.name, "Transfer-Encoding");
        if (isEncoding && !equalsIgnoreCase(header.value, "chunked")) {
            return true;
        }
        framingHeaders += isEncoding || equalsIgnoreCase(header.name, "Content-Length") ? 1 : 0;
    }
    return framingHeaders > 1;
}
} // namespace figpulley::net
