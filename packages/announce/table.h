#ifndef GV_ANNOUNCE_TABLE_H
#define GV_ANNOUNCE_TABLE_H

#include "announce.h"
#include "heap.h"
#include "map.h"

/* An endpoint, or a deleted one whose name is kept for one lease. */
struct record {
    struct str id;
    uint64_t key;
    uint64_t claim; /* 0: no entry may renew its lease */
    bool deleted;
    bool renewed; /* its lease ends with that of its group */
    /* Lower bound of the time of its last announcement. While renewed is set,
     * the base of its group may be a higher one. */
    int64_t earliest;
    struct heap_node node; /* key: end of its own lease */
    struct group *group;   /* of the entry with the claim, NULL: none */
    struct record *prev;   /* in the list of the group */
    struct record *next;
};

/* A revoked claim that its entry has not confirmed. */
struct revoked {
    uint64_t claim;
    uint64_t sent_in; /* first answer that named it; 0: none */
    struct revoked *next;
};

/* The leases that one entry process renews. */
struct group {
    uint64_t run;
    uint64_t id;
    uint64_t seq;          /* last message received */
    int64_t base;          /* all renewed endpoints were announced since */
    struct heap_node node; /* key: end of the lease or of the idle time */
    struct record *records;
    size_t renewed; /* number of records with renewed set */
    struct revoked *revoked;
};

struct announce_table {
    struct announce_table_config config;
    struct map *records; /* by id */
    struct map *claims;  /* number to struct record */
    struct map *groups;  /* run to struct group */
    struct heap leases;  /* of records that no entry renews */
    struct heap expiry;  /* of groups */
    uint64_t last_claim;
    uint64_t last_group;
};

/* table_group.c */
void
group_add(struct group *g, struct record *r);

/* Removes a record from its group; its own lease ends at the given time. */
void
group_remove(struct announce_table *t, struct record *r, int64_t end);

/* Like group_remove, and reports the claim to its entry as revoked. */
void
group_revoke(struct announce_table *t, struct record *r, int64_t end);

/* Frees the groups whose lease or idle time has ended. */
void
group_expire(struct announce_table *t, int64_t now);
void
group_free(struct announce_table *t, struct group *g);

/* End of a lease that started at from, with the margin. */
int64_t
lease_end(const struct announce_table *t, int64_t from);

#endif
