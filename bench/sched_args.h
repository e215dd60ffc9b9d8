#ifndef GV_BENCH_SCHED_ARGS_H
#define GV_BENCH_SCHED_ARGS_H

#include <string.h>

#include "sched_load.h"

/*
 * The arguments of the placement benchmark are FLEET LOAD SECONDS [OPTION...].
 * An option is a word or NAME=NUMBER.
 */

/* Returns the first fleet if there is none of that name. */
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
has_option(int argc, char **argv, const char *option)
{
    for (int i = 4; i < argc; i++) {
        if (strcmp(argv[i], option) == 0) {
            return true;
        }
    }
    return false;
}

/* Returns the number of the option seed=NUMBER, by default 7. */
static uint64_t
get_seed(int argc, char **argv)
{
    for (int i = 4; i < argc; i++) {
        if (strncmp(argv[i], "seed=", 5) == 0) {
            return strtoull(argv[i] + 5, NULL, 10);
        }
    }
    return 7;
}

/* Returns the number of the option NAME=NUMBER, or default_value. */
static double
get_number_option(int argc, char **argv, const char *name,
                  double default_value)
{
    size_t len = strlen(name);

    for (int i = 4; i < argc; i++) {
        if (strncmp(argv[i], name, len) == 0 && argv[i][len] == '=') {
            return strtod(argv[i] + len + 1, NULL);
        }
    }
    return default_value;
}

#endif
