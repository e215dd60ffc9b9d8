#ifndef GV_TEST_CHECKER_H
#define GV_TEST_CHECKER_H

#include <stdint.h>

#include "str.h"

/*
 * Checks the invariants of docs/design.md, section 1.2, against a history:
 * JSON lines that the fakes and the test wrote. docs/invariants.md lists
 * what is checked.
 */

struct checker_options {
    /* New requests may reach an endpoint this long after it has announced
     * that it leaves. */
    int64_t leaving_ns;
};

/* Appends one line per violation and returns how many there are. A line that
 * is not JSON is a violation. */
int
checker_run(const char *path, const struct checker_options *options,
            struct buf *report);

#endif
