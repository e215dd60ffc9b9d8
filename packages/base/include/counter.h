#ifndef GV_COUNTER_H
#define GV_COUNTER_H

#include <stdint.h>

#include "str.h"

enum counter_kind {
    COUNTER_SUM,
    COUNTER_GAUGE,
};

/* A metric; counter_get creates it once and it lives as long as the process.
 */
struct counter;

/*
 * Returns the metric of that name, creating it at the first call. The name
 * follows Prometheus' rules and may carry labels: guavarock_x_total{a="b"}.
 * name and help must outlive the process.
 */
struct counter *
counter_get(enum counter_kind kind, const char *name, const char *help);

/* The same for a name that was built at run time, which is copied. help must
 * outlive the process. */
struct counter *
counter_get_copy(enum counter_kind kind, struct str name, const char *help);
void
counter_add(struct counter *c, uint64_t n);
void
counter_set(struct counter *c, uint64_t value);
uint64_t
counter_value(const struct counter *c);

/* Appends all metrics in the Prometheus text format, version 0.0.4. */
void
counter_render(struct buf *out);

#endif
