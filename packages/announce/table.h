#ifndef GV_ANNOUNCE_TABLE_H
#define GV_ANNOUNCE_TABLE_H

#include "announce.h"
#include "heap.h"
#include "map.h"

/* An endpoint, or the name of one that was deleted. */
struct record {
    struct str id;
    uint64_t key;
    uint64_t claim; /* 0: no entry may renew it */
    bool deleted;
    bool renewed;          /* its lease is that of its group */
    int64_t earliest;      /* of its last announcement, unless renewed */
    struct heap_node node; /* key: end of its own lease */
    struct group *group;   /* whose entry has the claim, or NULL */
    struct record *prev;   /* in the group */
    struct record *next;
};

/* A claim that its entry still has to be told of. */
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
    int64_t base;          /* all of them were announced since */
    struct heap_node node; /* key: end of the lease, or of its idle time */
    struct record *records;
    size_t renewed;
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

/* Takes a record out of its group; its lease ends at the given time. */
void
group_remove(struct announce_table *t, struct record *r, int64_t end);

/* ... and its entry is to be told. */
void
group_revoke(struct announce_table *t, struct record *r, int64_t end);

/* Frees groups whose lease has ended; their records' leases end with it. */
void
group_expire(struct announce_table *t, int64_t now);
void
group_free(struct announce_table *t, struct group *g);

/* When a lease that counts from that time has certainly ended. */
int64_t
lease_end(const struct announce_table *t, int64_t from);

#endif
