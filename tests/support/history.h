#ifndef GV_TEST_HISTORY_H
#define GV_TEST_HISTORY_H

/*
 * An append-only file of JSON lines, one event each, that fakes and tests
 * write and the history checker reads. "t" is monotonic nanoseconds, so that
 * the lines of several processes of one machine can be ordered.
 */
struct history;

/* Returns NULL when path is NULL, which makes history_write do nothing. */
struct history *
history_open(const char *path);
void
history_close(struct history *h);

/* fmt gives the members after "t", such as "\"event\":\"start\"". */
void
history_write(struct history *h, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

#endif
