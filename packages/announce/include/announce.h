#ifndef GV_ANNOUNCE_H
#define GV_ANNOUNCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "str.h"

/*
 * Which entry renews the leases of which endpoints until when. Both halves are
 * pure: time is an argument, messages go in and out as structs.
 *
 * Times that are exchanged are of the leader's clock in nanoseconds. An entry
 * derives them from the leader's answers: an answer gives the leader's time at
 * some moment between the sending of the message and the arrival of the
 * answer (Cristian's algorithm). This holds only if the leader reads its clock
 * while it handles the message, and the entry after it has got the answer: a
 * time read before, at a wake-up, may be earlier than the message.
 */

/* When an announcement arrived at an entry: between these two. */
struct announce_when {
    int64_t earliest; /* 0: not known */
    int64_t latest;
};

/* A claim whose lease its entry no longer renews. */
struct announce_released {
    uint64_t claim;
    int64_t earliest; /* of the last announcement */
};

/* From an entry to the leader. */
struct announce_renewal {
    uint64_t seq;   /* increases by one with each message to a leader */
    uint64_t heard; /* last seq that was answered */
    uint64_t group; /* given by the leader; 0: none */
    /* Earliest time of the last announcement of each endpoint that the entry
     * renews; 0: it renews none. */
    int64_t oldest;
    uint64_t *taken; /* claims whose leases are renewed from now on */
    size_t taken_count;
    struct announce_released *released;
    size_t released_count;
};

void
announce_renewal_free(struct announce_renewal *v);

/* The leader's answer. */
struct announce_answer {
    uint64_t seq;
    uint64_t group;
    int64_t stamp;     /* the leader's time */
    uint64_t *revoked; /* claims that no longer hold */
    size_t revoked_count;
};

void
announce_answer_free(struct announce_answer *a);

/* ---- The leader's half ---- */

struct announce_table;

struct announce_table_config {
    int64_t lease_ns;  /* of an endpoint, from its last announcement */
    int64_t margin_ns; /* added to each lease: drift and timers */
    uint64_t term;     /* keeps the groups of two leaders apart */
};

struct announce_table *
announce_table_create(const struct announce_table_config *config);
void
announce_table_destroy(struct announce_table *t);

struct announce_put {
    struct str id;
    uint64_t key;
    uint64_t run;   /* of the entry process */
    uint64_t group; /* that the entry believes to have */
    struct announce_when when;
};

enum announce_result {
    ANNOUNCE_OK,
    ANNOUNCE_LATE, /* older than what is known, or than the lease */
};

/*
 * An announcement that an entry forwarded. *claim, unless 0, is what the entry
 * may renew; it counts once the entry has named it as taken.
 */
enum announce_result
announce_table_put(struct announce_table *t, int64_t now,
                   const struct announce_put *put, uint64_t *claim);

/* An endpoint that is deleted. Its name is kept for one lease, so that an
 * announcement from before does not bring it back. */
enum announce_result
announce_table_delete(struct announce_table *t, int64_t now, struct str id,
                      struct announce_when when);

/* Returns false when the message is older than another: no answer. */
bool
announce_table_renew(struct announce_table *t, int64_t now, uint64_t run,
                     const struct announce_renewal *v,
                     struct announce_answer *out);

/* No entry may renew the leases of endpoints that were announced with it.
 */
void
announce_table_key_withdrawn(struct announce_table *t, uint64_t key);

/* Forgets an endpoint whose lease has ended and returns true; *id is the
 * caller's to free. */
bool
announce_table_lapsed(struct announce_table *t, int64_t now, struct str *id);

/* ---- The entry's half ---- */

struct announce_cache;

struct announce_cache *
announce_cache_create(int64_t lease_ns);
void
announce_cache_destroy(struct announce_cache *c);

/* Another leader: no lease is renewed until it has answered. */
void
announce_cache_reset(struct announce_cache *c);

/* Whether the entry has a claim for exactly this announcement. */
bool
announce_cache_holds(const struct announce_cache *c, struct str id,
                     struct str body, uint64_t key);

/* The same announcement arrived again. */
void
announce_cache_seen(struct announce_cache *c, struct str id, int64_t at);

/* The leader has given a claim for an announcement that arrived at that time.
 * A claim of another group, or an older one, is ignored. */
void
announce_cache_granted(struct announce_cache *c, struct str id,
                       struct str body, uint64_t key, int64_t at,
                       uint64_t group, uint64_t claim);

/* The leader's time of a moment here; false before its first answer and when
 * the last one is older than a lease: another message is to be sent first. */
bool
announce_cache_when(const struct announce_cache *c, int64_t at,
                    struct announce_when *out);
uint64_t
announce_cache_group(const struct announce_cache *c);

/* Number of the last message; 0 before the first. */
uint64_t
announce_cache_seq(const struct announce_cache *c);
size_t
announce_cache_count(const struct announce_cache *c);

/* The next message. Endpoints that have not announced themselves for half
 * their lease are released. */
void
announce_cache_renewal(struct announce_cache *c, int64_t now,
                       struct announce_renewal *out);

/* Returns false when it answers an older message: nothing changed. */
bool
announce_cache_answered(struct announce_cache *c, int64_t now,
                        const struct announce_answer *a);

#endif
