#include "peer_impl.h"

enum peer_frame_result
peer_frame_split(struct str bytes, size_t max, struct str *payload,
                 size_t *used)
{
    const unsigned char *at = (const unsigned char *)bytes.ptr;
    size_t len;

    if (bytes.len < FRAME_LENGTH_BYTES) {
        return PEER_FRAME_SHORT;
    }
    len = (size_t)at[0] << 24 | (size_t)at[1] << 16 | (size_t)at[2] << 8 |
          (size_t)at[3];
    if (len == 0 || len > max) {
        return PEER_FRAME_BAD;
    }
    if (bytes.len - FRAME_LENGTH_BYTES < len) {
        return PEER_FRAME_SHORT;
    }
    *payload = str_from(bytes.ptr + FRAME_LENGTH_BYTES, len);
    *used = FRAME_LENGTH_BYTES + len;
    return PEER_FRAME_OK;
}

void
frame_append_length(struct buf *out, size_t len)
{
    unsigned char bytes[FRAME_LENGTH_BYTES] = {
        (unsigned char)(len >> 24), (unsigned char)(len >> 16),
        (unsigned char)(len >> 8), (unsigned char)len};

    buf_append(out, bytes, sizeof(bytes));
}
