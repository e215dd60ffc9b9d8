#ifndef GV_EVENT_H
#define GV_EVENT_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Structured log lines on standard output, one for each decision:
 *
 *     t=WALL_MS vm=NAME event=KIND key=value ...
 *
 * Lines are collected and written by event_flush without blocking; what a
 * full pipe does not take is dropped and counted. Each kind has a budget of
 * lines a second; a line "event=dropped" tells how many were left out. One
 * thread uses it.
 */
struct event_kind {
    const char *name;
    uint32_t per_second; /* 0: no limit, for rare kinds */
    int64_t window;      /* the rest is event.c's */
    uint32_t written;
    uint64_t dropped;
};

/* vm must outlive the process's logging. */
void
event_init(const char *vm);

/* fmt gives the fields behind the kind, separated by single spaces. */
void
event_write(struct event_kind *kind, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/* Writes the collected lines; call it once per wake-up. */
void
event_flush(void);

#endif
