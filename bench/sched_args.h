#ifndef GV_BENCH_SCHED_ARGS_H
#define GV_BENCH_SCHED_ARGS_H

#include <string.h>

#include "sched_load.h"

/* The arguments of the placement benchmark: FLEET LOAD SECONDS [WORD...]. */
static const struct fleet *
find_fleet(const char *name)
{
    for (size_t i = 0; i < sizeof(fleets) / sizeof(fleets[0]); i++) {
        if (strcmp(fleets[i].name, name) == 0) {
            return &fleets[i];
        }
    }
    return &fleets[0];
}

static bool
has(int argc, char **argv, const char *word)
{
    for (int i = 4; i < argc; i++) {
        if (strcmp(argv[i], word) == 0) {
            return true;
        }
    }
    return false;
}

static uint64_t
seed_of(int argc, char **argv)
{
    for (int i = 4; i < argc; i++) {
        if (strncmp(argv[i], "seed=", 5) == 0) {
            return strtoull(argv[i] + 5, NULL, 10);
        }
    }
    return 7;
}

/* The number of an argument NAME=NUMBER, otherwise as it is by default. */
static double
number_of(int argc, char **argv, const char *name, double otherwise)
{
    size_t len = strlen(name);

    for (int i = 4; i < argc; i++) {
        if (strncmp(argv[i], name, len) == 0 && argv[i][len] == '=') {
            return strtod(argv[i] + len + 1, NULL);
        }
    }
    return otherwise;
}

#endif
