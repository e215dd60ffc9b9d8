#include "peer.h"

const char *
peer_down_text(enum peer_down_reason reason)
{
    switch (reason) {
    case PEER_DOWN_CLOSED:
        return "closed by the other side";
    case PEER_DOWN_TIMEOUT:
        return "nothing was heard for too long";
    case PEER_DOWN_OVERFLOW:
        return "too much was queued";
    case PEER_DOWN_BAD_FRAME:
        return "a frame failed authentication";
    case PEER_DOWN_REPLACED:
        return "replaced by a newer session";
    case PEER_DOWN_LOCAL:
        break;
    }
    return "closed here";
}
