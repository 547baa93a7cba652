#include "LibBase/Compression.h"

#include <array>
#include <zlib.h>

namespace Base {

std::string compress(std::string_view text)
{
    auto size = compressBound(text.size());
    std::string bytes(size, '\0');
    // Fails only when the buffer is smaller than compressBound() or memory runs out.
    ::compress2(reinterpret_cast<Bytef *>(bytes.data()), &size, reinterpret_cast<const Bytef *>(text.data()),
                text.size(), Z_BEST_SPEED);
    bytes.resize(size);
    return bytes;
}

Result<std::string> decompress(std::string_view bytes, std::size_t maxBytes)
{
    z_stream stream {};
    if (inflateInit(&stream) != Z_OK)
        return fail(ErrorKind::Internal, "the decompressor could not be started");
    // zlib does not write to its input, but its interface is not const.
    stream.next_in = reinterpret_cast<Bytef *>(const_cast<char *>(bytes.data()));
    stream.avail_in = static_cast<uInt>(bytes.size());
    std::string text;
    std::array<char, 16384> buffer {};
    int status = Z_OK;
    while (status == Z_OK && text.size() <= maxBytes) {
        stream.next_out = reinterpret_cast<Bytef *>(buffer.data());
        stream.avail_out = buffer.size();
        status = inflate(&stream, Z_NO_FLUSH);
        text.append(buffer.data(), buffer.size() - stream.avail_out);
    }
    inflateEnd(&stream);
    if (status != Z_STREAM_END || text.size() > maxBytes)
        return fail(ErrorKind::MalformedMessage, "the compressed text is damaged or too large");
    return text;
}

} // namespace Base
