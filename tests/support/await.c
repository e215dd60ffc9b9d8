#include "await.h"

#include <stdio.h>
#include <stdlib.h>
#include <time.h>

void
await_failed(const char *file, int line, const char *condition)
{
    fprintf(stderr, "%s:%d: not so: %s\n", file, line, condition);
    abort();
}

void
await_pause(void)
{
    const struct timespec pause = {0, 10 * 1000000L};

    nanosleep(&pause, NULL);
}
