#include "peer.h"

const char *
peer_down_text(enum peer_down_reason reason)
{
    switch (reason) {
    case PEER_DOWN_CLOSED:
        return "closed by the other side";
    case PEER_DOWN_TIMEOUT:
        return "idle timeout";
    case PEER_DOWN_OVERFLOW:
        return "send queue full";
    case PEER_DOWN_BAD_FRAME:
        return "invalid frame or handshake";
    case PEER_DOWN_REPLACED:
        return "replaced by another session";
    case PEER_DOWN_LOCAL:
        break;
    }
    return "closed locally";
}
