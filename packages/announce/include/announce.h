#ifndef GV_ANNOUNCE_H
#define GV_ANNOUNCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "str.h"

/*
 * Leases of announced endpoints. The table on the leader records which entry
 * renews which lease until when; a cache on each entry holds the endpoints
 * whose leases it renews. Neither does I/O or reads a clock: the time and the
 * messages are arguments.
 *
 * Times in messages are nanoseconds of the leader's clock. An entry estimates
 * them from the leader's answers: an answer holds the leader's time at some
 * moment between the sending of the message and the arrival of the answer
 * (Cristian's algorithm). This is valid only if the leader reads its clock
 * while it handles the message, and the entry reads its own after the answer
 * has arrived: a time read earlier, at a wake-up, may be before the message.
 */

/* Bounds of the leader's time at which an announcement arrived at an entry. */
struct announce_interval {
    int64_t earliest; /* 0: not known */
    int64_t latest;
};

/* A claim that its entry gives up: it no longer renews the lease. */
struct announce_release {
    uint64_t claim;
    int64_t earliest; /* lower bound of the last announcement */
};

/* A message from an entry to the leader. */
struct announce_renewal {
    uint64_t seq;   /* increases by one with each message */
    uint64_t heard; /* last seq that was answered */
    uint64_t group; /* assigned by the leader; 0: none */
    /* Lower bound of the last announcements of all endpoints that the entry
     * renews; 0: it renews none. */
    int64_t oldest;
    uint64_t *taken; /* claims whose leases the entry renews from now on */
    size_t taken_count;
    struct announce_release *released;
    size_t released_count;
};

void
announce_renewal_free(struct announce_renewal *v);

/* The leader's answer. */
struct announce_answer {
    uint64_t seq;
    uint64_t group;
    int64_t stamp;     /* leader's time when it answered */
    uint64_t *revoked; /* claims that are no longer valid */
    size_t revoked_count;
};

void
announce_answer_free(struct announce_answer *a);

/* ---- The leader's table ---- */

struct announce_table;

struct announce_table_config {
    int64_t lease_ns;  /* of an endpoint, from its last announcement */
    int64_t margin_ns; /* added to each lease: clock drift, late timers */
    uint64_t term;     /* makes group numbers of two leaders differ */
};

struct announce_table *
announce_table_create(const struct announce_table_config *config);
void
announce_table_destroy(struct announce_table *t);

struct announce_put {
    struct str id;
    uint64_t key;
    uint64_t run;   /* of the entry process */
    uint64_t group; /* that the entry was assigned last */
    struct announce_interval when;
};

enum announce_result {
    ANNOUNCE_OK,
    ANNOUNCE_OUTDATED, /* older than the last known one, or than the lease */
};

/*
 * Handles an announcement that an entry forwarded. *claim, unless 0, allows
 * the entry to renew the lease; it takes effect when the entry lists it in
 * taken.
 */
enum announce_result
announce_table_put(struct announce_table *t, int64_t now,
                   const struct announce_put *put, uint64_t *claim);

/* Deletes an endpoint. Its name is kept for one lease, so that an earlier
 * announcement that arrives late does not restore it. */
enum announce_result
announce_table_delete(struct announce_table *t, int64_t now, struct str id,
                      struct announce_interval when);

/*
 * Handles a message of the entry process run and fills out, which the caller
 * frees. Returns false, with no answer to send, if the message is not newer
 * than the last one.
 */
bool
announce_table_renew(struct announce_table *t, int64_t now, uint64_t run,
                     const struct announce_renewal *v,
                     struct announce_answer *out);

/* Revokes the claims of all endpoints that were announced with this key. */
void
announce_table_revoke_key(struct announce_table *t, uint64_t key);

/* Removes one endpoint whose lease has ended and returns true; the caller
 * frees *id. Returns false if there is none. */
bool
announce_table_remove_expired(struct announce_table *t, int64_t now,
                              struct str *id);

/* ---- An entry's cache ---- */

struct announce_cache;

struct announce_cache *
announce_cache_create(int64_t lease_ns);
void
announce_cache_destroy(struct announce_cache *c);

/* Discards all claims when the leader changes: no lease is renewed until the
 * new leader has answered. */
void
announce_cache_reset(struct announce_cache *c);

/* Whether the entry has a claim for exactly this announcement. */
bool
announce_cache_contains(const struct announce_cache *c, struct str id,
                        struct str body, uint64_t key);

/* Records that the same announcement arrived again at this time. */
void
announce_cache_refresh(struct announce_cache *c, struct str id, int64_t at);

/* Adds the claim that the leader assigned to an announcement that arrived at
 * this time. A claim of another group or an older claim is ignored. */
void
announce_cache_add(struct announce_cache *c, struct str id, struct str body,
                   uint64_t key, int64_t at, uint64_t group, uint64_t claim);

/* Converts a local time to the leader's time. Returns false before the first
 * answer and if the clock sample is older than a lease; the entry must then
 * send another message first. */
bool
announce_cache_leader_time(const struct announce_cache *c, int64_t at,
                           struct announce_interval *out);
uint64_t
announce_cache_group(const struct announce_cache *c);

/* Sequence number of the last message; 0 before the first. */
uint64_t
announce_cache_seq(const struct announce_cache *c);
size_t
announce_cache_count(const struct announce_cache *c);

/* Fills out with the next message; the caller frees it. Releases endpoints
 * that have not announced themselves for half of their lease. */
void
announce_cache_next_renewal(struct announce_cache *c, int64_t now,
                            struct announce_renewal *out);

/* Applies the answer to the last message. Returns false without a change if it
 * answers an older message or was applied before. */
bool
announce_cache_apply_answer(struct announce_cache *c, int64_t now,
                            const struct announce_answer *a);

#endif
