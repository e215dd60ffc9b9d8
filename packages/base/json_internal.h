#ifndef GV_JSON_INTERNAL_H
#define GV_JSON_INTERNAL_H

#include "json.h"

enum {
    JSON_PATH_MAX = 8,
};

/* One step from a value to one inside it: a member, or an element when key is
 * NULL. */
struct json_step {
    const char *key;
    size_t index;
};

struct json_path {
    struct json_step steps[JSON_PATH_MAX];
    size_t count;
};

/* The 1-based line of the value at path in a valid text, 0 if not found. */
int
json_path_line(struct str text, const struct json_path *path);

/* Writes the path as teams[3].weight. */
void
json_path_format(const struct json_path *path, char *out, size_t size);

#endif
