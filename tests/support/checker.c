#include "checker.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "checker_impl.h"
#include "clock.h"
#include "mem.h"

enum {
    LINE_BYTES = 8192,
};

void
checker_report(struct checker *c, int64_t t, const char *fmt, ...)
{
    char text[512];
    va_list args;

    va_start(args, fmt);
    vsnprintf(text, sizeof(text), fmt, args);
    va_end(args);
    buf_printf(c->report, "%" PRId64 " ms: %s\n", t / NS_PER_MS, text);
    c->violations++;
}

/* ---- Reading ---- */

static void
add_line(struct checker *c, const char *line, size_t number)
{
    json_t *json = json_loads(line, 0, NULL);
    struct event *e;

    if (json == NULL) {
        checker_report(c, 0, "history: line %zu is not JSON", number);
        return;
    }
    if (c->count == c->size) {
        c->size = c->size == 0 ? 1024 : c->size * 2;
        c->events = realloc(c->events, c->size * sizeof(*c->events));
    }
    e = &c->events[c->count++];
    *e = (struct event){.json = json, .line = number};
    e->t = event_number(e, "t");
    e->kind = event_text(e, "event");
}

static int
compare_events(const void *a, const void *b)
{
    const struct event *x = a;
    const struct event *y = b;

    if (x->t != y->t) {
        return x->t < y->t ? -1 : 1;
    }
    return x->line < y->line ? -1 : x->line > y->line;
}

static void
read_events(struct checker *c, const char *path)
{
    FILE *f = fopen(path, "re");
    char line[LINE_BYTES];
    size_t number = 0;

    if (f == NULL) {
        checker_report(c, 0, "history: %s cannot be read", path);
        return;
    }
    while (fgets(line, sizeof(line), f) != NULL) {
        add_line(c, line, ++number);
    }
    fclose(f);
    if (c->count != 0) {
        qsort(c->events, c->count, sizeof(*c->events), compare_events);
    }
}

/* ---- Lists ---- */

/*
 * A read, or a change, that began after another had ended shows no older
 * version. A resend repeats the first answer, so it is left out.
 */
void
checker_lists(struct checker *c)
{
    for (size_t i = 0; i < c->count; i++) {
        const struct event *late = &c->events[i];

        if (strcmp(late->kind, "list") != 0 || event_true(late, "resend")) {
            continue;
        }
        for (size_t j = 0; j < i; j++) {
            const struct event *early = &c->events[j];

            if (strcmp(early->kind, "list") == 0 &&
                strcmp(event_text(early, "list"), event_text(late, "list")) ==
                    0 &&
                early->t < event_number(late, "began") &&
                event_number(early, "version") >
                    event_number(late, "version")) {
                checker_report(
                    c, late->t,
                    "list version went back: %s from %" PRId64 " to %" PRId64,
                    event_text(late, "list"), event_number(early, "version"),
                    event_number(late, "version"));
                break;
            }
        }
    }
}

int
checker_run(const char *path, const struct checker_options *options,
            struct buf *report)
{
    struct checker c = {.options = options, .report = report};

    read_events(&c, path);
    checker_tasks(&c);
    checker_requests(&c);
    checker_request_limits(&c);
    checker_lists(&c);
    for (size_t i = 0; i < c.count; i++) {
        json_decref(c.events[i].json);
    }
    free(c.events);
    return c.violations;
}
