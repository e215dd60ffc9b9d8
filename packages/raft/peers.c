#include "internal.h"
#include "mem.h"

struct peer *
peer_find(const struct raft *r, uint64_t id)
{
    for (size_t i = 0; i < r->peer_count; i++) {
        if (r->peers[i].id == id) {
            return &r->peers[i];
        }
    }
    return NULL;
}

static void
peer_init(const struct raft *r, struct peer *p, uint64_t id)
{
    *p = (struct peer){
        .id = id,
        .match = id == r->cfg.id ? r->durable : 0,
        .next = entries_last(&r->log) + 1,
        .answered_sent_ns = SEND_TIME_NONE,
    };
}

void
peers_update(struct raft *r)
{
    const struct configuration *c = config_history_newest(&r->configs);
    struct peer *fresh = mem_zalloc(c->count + 1, sizeof(*fresh));

    for (size_t i = 0; i < c->count; i++) {
        const struct peer *old = peer_find(r, c->items[i].id);

        if (old != NULL) {
            fresh[i] = *old;
        }
        else {
            peer_init(r, &fresh[i], c->items[i].id);
        }
    }
    mem_free(r->peers);
    r->peers = fresh;
    r->peer_count = c->count;
}

void
peers_reset(struct raft *r)
{
    for (size_t i = 0; i < r->peer_count; i++) {
        peer_init(r, &r->peers[i], r->peers[i].id);
    }
}

bool
peer_is_active(const struct raft *r, const struct peer *p, int64_t now)
{
    return p->id == r->cfg.id ||
           (p->answered_sent_ns != SEND_TIME_NONE &&
            now - p->answered_sent_ns <= r->cfg.election_timeout_ns);
}
