#include <glib.h>
#include <pthread.h>

#include "clock.h"
#include "counter.h"
#include "heap.h"
#include "map.h"
#include "mem.h"
#include "ring.h"
#include "rng.h"
#include "str.h"

/* Guards against a number that overflows or trails off being accepted. */
static void
test_str_to_u64(void)
{
    uint64_t v = 7;

    g_assert_true(str_to_u64(STR("18446744073709551615"), UINT64_MAX, &v));
    g_assert_true(v == UINT64_MAX);
    g_assert_false(str_to_u64(STR("18446744073709551616"), UINT64_MAX, &v));
    g_assert_false(str_to_u64(STR(""), UINT64_MAX, &v));
    g_assert_false(str_to_u64(STR("-1"), UINT64_MAX, &v));
    g_assert_false(str_to_u64(STR("12x"), UINT64_MAX, &v));
    g_assert_false(str_to_u64(STR("101"), 100, &v));
    g_assert_true(str_to_u64(STR("100"), 100, &v));
}

static void
test_str_cut(void)
{
    struct str s = STR("a//b");

    g_assert_true(str_eq(str_cut(&s, '/'), STR("a")));
    g_assert_true(str_eq(str_cut(&s, '/'), STR("")));
    g_assert_true(str_eq(str_cut(&s, '/'), STR("b")));
    g_assert_cmpuint(s.len, ==, 0);
}

static void
test_buf(void)
{
    struct buf b = {0};

    for (int i = 0; i < 1000; i++) {
        buf_printf(&b, "%d,", i);
    }
    g_assert_cmpuint(b.len, ==, 10 * 2 + 90 * 3 + 900 * 4);
    buf_consume(&b, 2);
    g_assert_true(str_starts(buf_str(&b), STR("1,2,")));
    buf_free(&b);
}

/* Guards against lost or stale entries after long put and delete sequences. */
static void
test_map_random(void)
{
    struct rng rng = {42};
    struct map *m = map_create();
    GHashTable *model = g_hash_table_new(g_direct_hash, g_direct_equal);

    for (int i = 0; i < 200000; i++) {
        uint64_t key = 1 + rng_below(&rng, 3000);
        void *value = GSIZE_TO_POINTER(1 + rng_below(&rng, 1000000));
        void *expect = g_hash_table_lookup(model, GSIZE_TO_POINTER(key));
        switch (rng_below(&rng, 3)) {
        case 0:
            g_assert_true(map_put_u64(m, key, value) == expect);
            g_hash_table_insert(model, GSIZE_TO_POINTER(key), value);
            break;
        case 1:
            g_assert_true(map_del_u64(m, key) == expect);
            g_hash_table_remove(model, GSIZE_TO_POINTER(key));
            break;
        default:
            g_assert_true(map_get_u64(m, key) == expect);
        }
        g_assert_cmpuint(map_count(m), ==, g_hash_table_size(model));
    }
    g_hash_table_destroy(model);
    map_destroy(m);
}

static void
test_map_walk_and_delete(void)
{
    struct map *m = map_create();
    void *cursor = NULL;
    uint64_t *v;
    uint64_t expect = 0;

    for (uint64_t i = 0; i < 100; i++) {
        v = mem_alloc(sizeof(*v));
        *v = i;
        map_put_u64(m, i, v);
    }
    while ((v = map_next(m, &cursor)) != NULL) {
        g_assert_cmpuint(*v, ==, expect);
        expect++;
        map_del_u64(m, *v);
        mem_free(v);
    }
    g_assert_cmpuint(expect, ==, 100);
    g_assert_cmpuint(map_count(m), ==, 0);
    map_destroy(m);
}

static void
test_heap_random(void)
{
    struct rng rng = {7};
    struct heap h = {0};
    struct heap_node nodes[500] = {0};
    int64_t last = INT64_MIN;
    struct heap_node *n;

    for (int i = 0; i < 20000; i++) {
        n = &nodes[rng_below(&rng, G_N_ELEMENTS(nodes))];
        if (n->pos == 0) {
            n->key = (int64_t)rng_below(&rng, 1000);
            n->seq = (uint64_t)i;
            heap_insert(&h, n);
        }
        else if (rng_below(&rng, 2) == 0) {
            heap_remove(&h, n);
        }
        else {
            n->key = (int64_t)rng_below(&rng, 1000);
            heap_update(&h, n);
        }
    }
    while ((n = heap_pop(&h)) != NULL) {
        g_assert_cmpint(n->key, >=, last);
        last = n->key;
    }
    heap_free(&h);
}

enum {
    PUSHERS = 4,
    PUSHES = 50000,
};

static void *
pusher(void *arg)
{
    for (uintptr_t i = 1; i <= PUSHES; i++) {
        while (!ring_push(arg, (void *)i)) {
            g_thread_yield();
        }
    }
    return NULL;
}

/* Guards against a lost wake-up or a lost item between threads. */
static void
test_ring_threads(void)
{
    struct ring *r = ring_create(1024);
    pthread_t threads[PUSHERS];
    uint64_t sum = 0;
    uint64_t count = 0;
    void *item;

    for (int i = 0; i < PUSHERS; i++) {
        pthread_create(&threads[i], NULL, pusher, r);
    }
    while (count < (uint64_t)PUSHERS * PUSHES) {
        ring_clear(r);
        while ((item = ring_pop(r)) != NULL) {
            sum += (uintptr_t)item;
            count++;
        }
    }
    for (int i = 0; i < PUSHERS; i++) {
        pthread_join(threads[i], NULL);
    }
    g_assert_cmpuint(sum, ==, (uint64_t)PUSHERS * PUSHES * (PUSHES + 1) / 2);
    ring_destroy(r);
}

/* Guards against a family's HELP line standing twice. */
static void
test_counter_render(void)
{
    struct buf b = {0};
    const char *text;

    counter_add(counter_get(COUNTER_SUM, "t_total{a=\"1\"}", "Help."), 3);
    counter_add(counter_get(COUNTER_SUM, "other_total", "Other."), 1);
    counter_add(counter_get(COUNTER_SUM, "t_total{a=\"2\"}", "Help."), 4);
    counter_render(&b);
    text = g_strstr_len(b.ptr, (gssize)b.len, "# HELP t_total");
    g_assert_nonnull(text);
    g_assert_true(text ==
                  g_strrstr_len(b.ptr, (gssize)b.len, "# HELP t_total"));
    g_assert_nonnull(g_strstr_len(b.ptr, (gssize)b.len,
                                  "t_total{a=\"1\"} 3\nt_total{a=\"2\"} 4\n"));
    buf_free(&b);
}

static void
test_clock_wait(void)
{
    g_assert_cmpint(clock_wait_ms(10, 5, 100), ==, 0);
    g_assert_cmpint(clock_wait_ms(0, 1, 100), ==, 1);
    g_assert_cmpint(clock_wait_ms(0, DEADLINE_NONE, 100), ==, 100);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/base/str_to_u64", test_str_to_u64);
    g_test_add_func("/base/str_cut", test_str_cut);
    g_test_add_func("/base/buf", test_buf);
    g_test_add_func("/base/map_random", test_map_random);
    g_test_add_func("/base/map_walk_and_delete", test_map_walk_and_delete);
    g_test_add_func("/base/heap_random", test_heap_random);
    g_test_add_func("/base/ring_threads", test_ring_threads);
    g_test_add_func("/base/counter_render", test_counter_render);
    g_test_add_func("/base/clock_wait", test_clock_wait);
    return g_test_run();
}
