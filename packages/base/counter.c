#include "counter.h"

#include <pthread.h>
#include <string.h>

#include <ck_pr.h>

#include "mem.h"

struct counter {
    uint64_t value;
    enum counter_kind kind;
    const char *name;
    const char *help;
    struct counter *next;
};

static struct counter *counters;
static pthread_mutex_t counters_lock = PTHREAD_MUTEX_INITIALIZER;

static struct counter **
find(struct str name)
{
    struct counter **slot = &counters;

    while (*slot != NULL && !str_eq(str_of((*slot)->name), name)) {
        slot = &(*slot)->next;
    }
    return slot;
}

static struct counter *
create(enum counter_kind kind, const char *name, const char *help)
{
    struct counter *c = mem_zalloc(1, sizeof(*c));

    c->kind = kind;
    c->name = name;
    c->help = help;
    return c;
}

struct counter *
counter_get(enum counter_kind kind, const char *name, const char *help)
{
    struct counter **slot;
    struct counter *c;

    pthread_mutex_lock(&counters_lock);
    slot = find(str_of(name));
    if (*slot == NULL) {
        *slot = create(kind, name, help);
    }
    c = *slot;
    pthread_mutex_unlock(&counters_lock);
    return c;
}

struct counter *
counter_get_copy(enum counter_kind kind, struct str name, const char *help)
{
    struct counter **slot;
    struct counter *c;

    pthread_mutex_lock(&counters_lock);
    slot = find(name);
    if (*slot == NULL) {
        *slot = create(kind, str_dup(name).ptr, help);
    }
    c = *slot;
    pthread_mutex_unlock(&counters_lock);
    return c;
}

void
counter_add(struct counter *c, uint64_t n)
{
    ck_pr_add_64(&c->value, n);
}

void
counter_set(struct counter *c, uint64_t value)
{
    ck_pr_store_64(&c->value, value);
}

uint64_t
counter_value(const struct counter *c)
{
    return ck_pr_load_64(&c->value);
}

static struct str
family(const char *name)
{
    return str_from(name, strcspn(name, "{"));
}

/* The format wants one HELP and TYPE line for a family, before its samples. */
static void
render_family(struct buf *out, const struct counter *first)
{
    struct str name = family(first->name);

    buf_printf(out, "# HELP %.*s %s\n# TYPE %.*s %s\n", STR_ARG(name),
               first->help, STR_ARG(name),
               first->kind == COUNTER_SUM ? "counter" : "gauge");
    for (const struct counter *c = first; c != NULL; c = c->next) {
        if (str_eq(family(c->name), name)) {
            buf_printf(out, "%s %llu\n", c->name,
                       (unsigned long long)counter_value(c));
        }
    }
}

static int
is_first_of_family(const struct counter *c)
{
    const struct counter *p = counters;

    while (p != c && !str_eq(family(p->name), family(c->name))) {
        p = p->next;
    }
    return p == c;
}

void
counter_render(struct buf *out)
{
    pthread_mutex_lock(&counters_lock);
    for (const struct counter *c = counters; c != NULL; c = c->next) {
        if (is_first_of_family(c)) {
            render_family(out, c);
        }
    }
    pthread_mutex_unlock(&counters_lock);
}
