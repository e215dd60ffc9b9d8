#include "json_internal.h"

#include <stdio.h>
#include <string.h>

/* jansson keeps no positions; after a failed check the text, which is known
 * to be valid JSON, is scanned once more for the line of the field. */

static const char *
skip_space(const char *p, const char *end)
{
    while (p < end && strchr(" \t\r\n", *p) != NULL) {
        p++;
    }
    return p;
}

/* p is at the opening quote; returns what follows the closing one. */
static const char *
skip_string(const char *p, const char *end)
{
    for (p++; p < end && *p != '"'; p++) {
        if (*p == '\\') {
            p++;
        }
    }
    return p < end ? p + 1 : end;
}

static const char *
skip_value(const char *p, const char *end)
{
    size_t depth = 0;

    while (p < end) {
        if (*p == '"') {
            p = skip_string(p, end);
            continue;
        }
        if (*p == '{' || *p == '[') {
            depth++;
        }
        else if (*p == '}' || *p == ']') {
            if (depth == 0) {
                return p;
            }
            depth--;
        }
        else if (*p == ',' && depth == 0) {
            return p;
        }
        p++;
    }
    return end;
}

/* p is behind an opening brace; returns the value of key or NULL. */
static const char *
find_member(const char *p, const char *end, const char *key)
{
    size_t len = strlen(key);

    for (;;) {
        p = skip_space(p, end);
        if (p >= end || *p != '"') {
            return NULL;
        }
        const char *name = p + 1;
        p = skip_string(p, end);
        bool found =
            (size_t)(p - 1 - name) == len && memcmp(name, key, len) == 0;
        p = skip_space(p, end);
        p = skip_space(p < end ? p + 1 : end, end);
        if (found) {
            return p;
        }
        p = skip_value(p, end);
        if (p >= end || *p != ',') {
            return NULL;
        }
        p++;
    }
}

/* p is behind an opening bracket; returns the element or NULL. */
static const char *
find_element(const char *p, const char *end, size_t index)
{
    for (size_t i = 0; i < index; i++) {
        p = skip_value(p, end);
        if (p >= end || *p != ',') {
            return NULL;
        }
        p++;
    }
    return skip_space(p, end);
}

int
json_path_line(struct str text, const struct json_path *path)
{
    const char *end = text.ptr + text.len;
    const char *p = skip_space(text.ptr, end);
    int line = 1;

    for (size_t i = 0; i < path->count; i++) {
        const struct json_step *step = &path->steps[i];

        if (p >= end) {
            return 0;
        }
        p = step->key != NULL ? find_member(p + 1, end, step->key)
                              : find_element(p + 1, end, step->index);
        if (p == NULL) {
            return 0;
        }
    }
    for (const char *q = text.ptr; q < p; q++) {
        line += *q == '\n';
    }
    return line;
}

int
json_member_line(struct str text, const char *member)
{
    const struct json_path path = {.steps = {{.key = member}}, .count = 1};

    return json_path_line(text, &path);
}

void
json_path_format(const struct json_path *path, char *out, size_t size)
{
    size_t len = 0;

    out[0] = '\0';
    for (size_t i = 0; i < path->count && len < size; i++) {
        const struct json_step *step = &path->steps[i];
        int n;

        if (step->key != NULL) {
            n = snprintf(out + len, size - len, "%s%s", i == 0 ? "" : ".",
                         step->key);
        }
        else {
            n = snprintf(out + len, size - len, "[%zu]", step->index);
        }
        len += n > 0 ? (size_t)n : 0;
    }
}
