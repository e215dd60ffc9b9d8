/*
 * An entry's cache: the endpoints whose leases this entry renews, in the order
 * of their last announcement.
 */
#include "announce.h"
#include "map.h"
#include "mem.h"

enum {
    /* Longer announcements are not cached but forwarded each time, which
     * limits the memory in use. */
    BODY_BYTES_MAX = 4096,
    /* Two clocks drift apart by less than 1/DRIFT_DIVISOR of the time. */
    DRIFT_DIVISOR = 100,
};

/* An endpoint whose lease this entry renews. */
struct held {
    struct str id;
    struct str body;
    uint64_t key;
    uint64_t claim;
    int64_t last;     /* time of the last announcement */
    uint64_t sent_in; /* seq of the first message with the claim; 0: none */
    bool confirmed;   /* such a message was answered */
    struct held *older;
    struct held *newer;
};

/* A released claim that the leader has not confirmed. */
struct pending_release {
    struct announce_release released;
    uint64_t sent_in; /* seq of the first message with it; 0: none */
    struct pending_release *next;
};

/* The leader's clock showed stamp at some time between sent and received. */
struct sample {
    int64_t sent;
    int64_t received;
    int64_t stamp;
};

struct announce_cache {
    int64_t lease_ns;
    struct map *held;   /* id to struct held */
    struct map *claims; /* number to struct held */
    struct held *oldest;
    struct held *newest;
    struct pending_release *releases;
    size_t release_count;
    size_t unconfirmed; /* number of held that are not confirmed */
    uint64_t seq;
    uint64_t answered_seq;
    int64_t sent_at; /* when seq was sent */
    uint64_t group;
    bool has_sample;
    struct sample sample;
};

struct announce_cache *
announce_cache_create(int64_t lease_ns)
{
    struct announce_cache *c = mem_zalloc(1, sizeof(*c));

    c->lease_ns = lease_ns;
    c->held = map_create();
    c->claims = map_create();
    return c;
}

static void
unlink_held(struct announce_cache *c, struct held *h)
{
    *(h->older == NULL ? &c->oldest : &h->older->newer) = h->newer;
    *(h->newer == NULL ? &c->newest : &h->newer->older) = h->older;
}

static void
append_held(struct announce_cache *c, struct held *h)
{
    h->older = c->newest;
    h->newer = NULL;
    *(c->newest == NULL ? &c->oldest : &c->newest->newer) = h;
    c->newest = h;
}

static void
remove_held(struct announce_cache *c, struct held *h)
{
    unlink_held(c, h);
    c->unconfirmed -= h->confirmed ? 0 : 1;
    map_del(c->held, h->id);
    map_del_u64(c->claims, h->claim);
    str_free(&h->id);
    str_free(&h->body);
    mem_free(h);
}

static void
clear(struct announce_cache *c)
{
    struct pending_release *d;

    while (c->oldest != NULL) {
        remove_held(c, c->oldest);
    }
    while ((d = c->releases) != NULL) {
        c->releases = d->next;
        mem_free(d);
    }
    c->release_count = 0;
}

void
announce_cache_destroy(struct announce_cache *c)
{
    clear(c);
    map_destroy(c->held);
    map_destroy(c->claims);
    mem_free(c);
}

void
announce_cache_reset(struct announce_cache *c)
{
    clear(c);
    c->answered_seq = c->seq;
    c->group = 0;
    c->has_sample = false;
}

bool
announce_cache_contains(const struct announce_cache *c, struct str id,
                        struct str body, uint64_t key)
{
    const struct held *h = map_get(c->held, id);

    return h != NULL && h->key == key && str_eq(h->body, body);
}

static void
update_last(struct announce_cache *c, struct held *h, int64_t at)
{
    if (at > h->last) {
        h->last = at;
    }
    unlink_held(c, h);
    append_held(c, h);
    /* Keeps the list sorted; times are rarely out of order. */
    while (h->older != NULL && h->older->last > h->last) {
        struct held *before = h->older;

        unlink_held(c, h);
        h->newer = before;
        h->older = before->older;
        *(h->older == NULL ? &c->oldest : &h->older->newer) = h;
        before->older = h;
    }
}

void
announce_cache_refresh(struct announce_cache *c, struct str id, int64_t at)
{
    struct held *h = map_get(c->held, id);

    if (h != NULL) {
        update_last(c, h, at);
    }
}

void
announce_cache_add(struct announce_cache *c, struct str id, struct str body,
                   uint64_t key, int64_t at, uint64_t group, uint64_t claim)
{
    struct held *h = map_get(c->held, id);

    if (claim == 0 || group != c->group || !c->has_sample ||
        (h != NULL && h->claim > claim)) {
        return;
    }
    if (h != NULL) {
        remove_held(c, h);
    }
    if (body.len > BODY_BYTES_MAX) {
        return;
    }
    h = mem_zalloc(1, sizeof(*h));
    h->id = str_dup(id);
    h->body = str_dup(body);
    h->key = key;
    h->claim = claim;
    h->last = at;
    map_put(c->held, id, h);
    map_put_u64(c->claims, claim, h);
    append_held(c, h);
    update_last(c, h, at);
    c->unconfirmed++;
}

static struct announce_interval
leader_time(const struct announce_cache *c, int64_t at)
{
    const struct sample *s = &c->sample;
    int64_t drift =
        (at > s->sent ? at - s->sent : s->sent - at) / DRIFT_DIVISOR;

    return (struct announce_interval){s->stamp + (at - s->received) - drift,
                                      s->stamp + (at - s->sent) + drift};
}

bool
announce_cache_leader_time(const struct announce_cache *c, int64_t at,
                           struct announce_interval *out)
{
    /* The drift since then could make a new announcement look late. */
    if (!c->has_sample || at - c->sample.received > c->lease_ns) {
        return false;
    }
    *out = leader_time(c, at);
    return true;
}

uint64_t
announce_cache_group(const struct announce_cache *c)
{
    return c->group;
}

uint64_t
announce_cache_seq(const struct announce_cache *c)
{
    return c->seq;
}

size_t
announce_cache_count(const struct announce_cache *c)
{
    return map_count(c->held);
}

static void
release_silent(struct announce_cache *c, int64_t now)
{
    struct held *h;

    while ((h = c->oldest) != NULL && now - h->last > c->lease_ns / 2) {
        struct pending_release *d = mem_zalloc(1, sizeof(*d));

        d->released.claim = h->claim;
        d->released.earliest = leader_time(c, h->last).earliest;
        d->next = c->releases;
        c->releases = d;
        c->release_count++;
        remove_held(c, h);
    }
}

static void
fill_taken(struct announce_cache *c, struct announce_renewal *out)
{
    out->taken = mem_zalloc(c->unconfirmed + 1, sizeof(*out->taken));
    /* Unconfirmed claims are near the newest end of the list. */
    for (struct held *h = c->newest;
         h != NULL && out->taken_count < c->unconfirmed; h = h->older) {
        if (h->confirmed) {
            continue;
        }
        h->sent_in = h->sent_in == 0 ? c->seq : h->sent_in;
        out->taken[out->taken_count++] = h->claim;
    }
}

static void
fill_released(struct announce_cache *c, struct announce_renewal *out)
{
    out->released = mem_zalloc(c->release_count + 1, sizeof(*out->released));
    for (struct pending_release *d = c->releases; d != NULL; d = d->next) {
        d->sent_in = d->sent_in == 0 ? c->seq : d->sent_in;
        out->released[out->released_count++] = d->released;
    }
}

void
announce_cache_next_renewal(struct announce_cache *c, int64_t now,
                            struct announce_renewal *out)
{
    *out = (struct announce_renewal){
        .seq = ++c->seq, .heard = c->answered_seq, .group = c->group};
    c->sent_at = now;
    release_silent(c, now);
    if (c->oldest != NULL) {
        out->oldest = leader_time(c, c->oldest->last).earliest;
    }
    fill_taken(c, out);
    fill_released(c, out);
}

void
announce_renewal_free(struct announce_renewal *v)
{
    mem_free(v->taken);
    mem_free(v->released);
}

/* Replaces the sample if the new one is no less exact: a shorter exchange is
 * more exact, and drift makes an old sample less exact. */
static void
update_sample(struct announce_cache *c, int64_t now, int64_t stamp)
{
    struct sample s = {c->sent_at, now, stamp};
    int64_t uncertainty = c->sample.received - c->sample.sent +
                          2 * (now - c->sample.received) / DRIFT_DIVISOR;

    if (!c->has_sample || s.received - s.sent <= uncertainty) {
        c->sample = s;
    }
    c->has_sample = true;
}

static void
confirm_taken(struct announce_cache *c, uint64_t seq)
{
    for (struct held *h = c->newest; h != NULL && c->unconfirmed != 0;
         h = h->older) {
        if (!h->confirmed && h->sent_in != 0 && h->sent_in <= seq) {
            h->confirmed = true;
            c->unconfirmed--;
        }
    }
}

static void
confirm_released(struct announce_cache *c, uint64_t seq)
{
    struct pending_release **at = &c->releases;

    while (*at != NULL) {
        struct pending_release *d = *at;

        if (d->sent_in == 0 || d->sent_in > seq) {
            at = &d->next;
            continue;
        }
        *at = d->next;
        c->release_count--;
        mem_free(d);
    }
}

bool
announce_cache_apply_answer(struct announce_cache *c, int64_t now,
                            const struct announce_answer *a)
{
    if (a->seq != c->seq || a->seq == c->answered_seq) {
        return false;
    }
    if (a->group != c->group) {
        clear(c);
        c->group = a->group;
        c->has_sample = false;
    }
    c->answered_seq = a->seq;
    update_sample(c, now, a->stamp);
    confirm_taken(c, a->seq);
    confirm_released(c, a->seq);
    for (size_t i = 0; i < a->revoked_count; i++) {
        struct held *h = map_get_u64(c->claims, a->revoked[i]);

        if (h != NULL) {
            remove_held(c, h);
        }
    }
    return true;
}
