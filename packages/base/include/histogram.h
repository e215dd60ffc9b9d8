#ifndef GV_HISTOGRAM_H
#define GV_HISTOGRAM_H

#include <stdint.h>

/*
 * A latency histogram among the metrics, with fixed buckets from 1 ms to
 * 30 s; counter_render writes it in the Prometheus text format.
 */
struct histogram;

/* name follows Prometheus' rules, without labels; name and help must outlive
 * the process. What was counted stays among the metrics after destroy. */
struct histogram *
histogram_create(const char *name, const char *help);
void
histogram_destroy(struct histogram *h);

/* Counts one duration in nanoseconds; negative ones count as 0. */
void
histogram_observe(struct histogram *h, int64_t ns);

#endif
