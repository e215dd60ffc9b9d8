#ifndef GV_TEST_ODD_ENTRIES_H
#define GV_TEST_ODD_ENTRIES_H

#include <stddef.h>
#include <stdint.h>

/*
 * Announcements of workers that another writer could send and that describe no
 * usable worker. Each differs in one member from an announcement that does.
 */

struct odd_entry {
    const char *name;
    const char *member;
    /* The JSON text of the member: before, count times repeated, after. A NULL
     * before leaves the member out. */
    const char *before;
    const char *repeated;
    size_t count;
    const char *after;
};

extern const struct odd_entry odd_entries[];
extern const size_t odd_entry_count;

/* Returns the body of an announcement of the address and the start time, with
 * the odd member; entry NULL: of a usable worker. Free with g_free(). */
char *
odd_entry_body(const struct odd_entry *entry, const char *address,
               int64_t born_ms);

/* Responses of a worker to a poll that cannot be used, or not in full. */
struct odd_answer {
    const char *name;
    /* Entries of each list that cannot be used or are left out. 0 in both: the
     * whole answer cannot be used. */
    uint32_t running_unreadable;
    uint32_t ended_unreadable;
    const char *clock; /* JSON text; NULL: usable */
    const char *born;
    const char *running; /* the lists, as JSON text; NULL: generated */
    const char *ended;
    size_t running_count; /* entries to generate, each of a run of its own */
    size_t ended_count;
};

extern const struct odd_answer odd_answers[];
extern const size_t odd_answer_count;

/* Free the result with g_free(). */
char *
odd_answer_body(const struct odd_answer *answer, int64_t born_ms);

#endif
