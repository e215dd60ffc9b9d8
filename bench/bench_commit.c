/*
 * Commits of three members, each a raft node and a store with real files.
 *
 *   bench_commit disk DIR SECONDS        table of commit rates and times
 *   bench_commit inline DIR ENTRIES WRITERS   one thread, for callgrind
 *   bench_commit stalled DIR ENTRIES     bytes queued for a stalled member
 */
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "clock.h"
#include "mem.h"
#include "raft.h"
#include "ring.h"
#include "store.h"

enum {
    MEMBERS = 3,
    ENTRY_BYTES = 256,
    MAX_WRITERS = 256,
    MAX_SAMPLES = 1 << 21,
    RING_SLOTS = 4096,
};

struct job {
    struct store_batch *batch;
    uint64_t write;
};

struct member {
    struct cluster *cluster;
    struct raft *raft;
    struct store *store;
    char dir[256];
    pthread_t thread;
    struct ring *todo; /* struct job, to the storage thread */
    struct ring *done; /* struct job, back */
    struct job *open;  /* filled while the storage thread is busy */
    unsigned busy;     /* jobs handed to the storage thread */
    uint64_t syncs;
};

struct packet {
    struct packet *next;
    int from;
    int to;
    struct str bytes;
};

struct cluster {
    struct member members[MEMBERS];
    struct packet *first;
    struct packet **last;
    bool threads;
    bool group;
    int stalled; /* member that gets no messages, -1 for none */
    uint64_t stalled_bytes;
    int64_t proposed[MAX_WRITERS]; /* when; 0: idle */
    unsigned writers;
    bool idle; /* a writer waits to propose */
    uint64_t committed;
    uint64_t until; /* commits after which nothing is proposed */
    int64_t *samples;
    size_t sample_count;
};

static void
die(const char *what)
{
    fprintf(stderr, "bench_commit: %s\n", what);
    exit(1);
}

static struct job *
job_create(void)
{
    struct job *j = mem_zalloc(1, sizeof(*j));

    j->batch = store_batch_create();
    return j;
}

static void
job_free(struct job *j)
{
    if (j != NULL) {
        store_batch_destroy(j->batch);
        mem_free(j);
    }
}

/* A job without a batch ends the thread. */
static void *
storage_main(void *arg)
{
    struct member *m = arg;
    struct job *j;

    for (;;) {
        struct pollfd p = {.fd = ring_fd(m->todo), .events = POLLIN};

        poll(&p, 1, -1);
        ring_clear(m->todo);
        while ((j = ring_pop(m->todo)) != NULL) {
            if (j->batch == NULL) {
                mem_free(j);
                return NULL;
            }
            if (store_write(m->store, j->batch) != STORE_OK) {
                die("store_write failed");
            }
            ring_push(m->done, j);
        }
    }
}

static void
submit(struct member *m)
{
    struct job *j = m->open;

    if (j == NULL || (m->cluster->group && m->busy > 0)) {
        return;
    }
    m->open = NULL;
    m->syncs++;
    if (m->cluster->threads) {
        m->busy++;
        ring_push(m->todo, j);
        return;
    }
    if (store_write(m->store, j->batch) != STORE_OK) {
        die("store_write failed");
    }
    raft_write_synced(m->raft, clock_now(), j->write);
    job_free(j);
}

static void
post(struct cluster *c, int from, const struct raft_message *msg)
{
    struct packet *p;

    if ((int)msg->to - 1 == c->stalled) {
        c->stalled_bytes += msg->bytes.len;
        return;
    }
    p = mem_zalloc(1, sizeof(*p));
    p->from = from;
    p->to = (int)msg->to - 1;
    p->bytes = str_dup(msg->bytes);
    *c->last = p;
    c->last = &p->next;
}

static void
count_commit(struct cluster *c, const struct raft_entry *e, int64_t now)
{
    uint32_t writer;

    if (e->kind != RAFT_ENTRY_DATA) {
        return;
    }
    memcpy(&writer, e->data.ptr, sizeof(writer));
    c->committed++;
    if (c->sample_count < MAX_SAMPLES) {
        c->samples[c->sample_count] = now - c->proposed[writer];
        c->sample_count++;
    }
    c->proposed[writer] = 0;
    c->idle = true;
}

static void
drain(struct cluster *c, int i)
{
    struct member *m = &c->members[i];
    struct raft_output out;
    struct raft_status s;

    while (raft_ready(m->raft, clock_now(), &out)) {
        for (size_t k = 0; k < out.message_count; k++) {
            post(c, i, &out.messages[k]);
        }
        if (out.write != 0) {
            m->open = m->open == NULL ? job_create() : m->open;
            store_batch_output(m->open->batch, &out);
            m->open->write = out.write;
        }
        raft_status(m->raft, &s);
        for (size_t k = 0; k < out.committed_count; k++) {
            if (s.role == RAFT_LEADER) {
                count_commit(c, &out.committed[k], clock_now());
            }
        }
        raft_advance(m->raft);
        submit(m);
    }
    submit(m);
}

static void
take_done(struct cluster *c, int i)
{
    struct member *m = &c->members[i];
    struct job *j;

    ring_clear(m->done);
    while ((j = ring_pop(m->done)) != NULL) {
        m->busy--;
        raft_write_synced(m->raft, clock_now(), j->write);
        job_free(j);
    }
}

static void
deliver(struct cluster *c)
{
    struct packet *p = c->first;

    c->first = NULL;
    c->last = &c->first;
    while (p != NULL) {
        struct packet *next = p->next;

        raft_receive(c->members[p->to].raft, clock_now(),
                     (uint64_t)p->from + 1, p->bytes);
        if (!c->group) {
            drain(c, p->to);
        }
        str_free(&p->bytes);
        mem_free(p);
        p = next;
    }
}

static int
leader_of(const struct cluster *c)
{
    for (int i = 0; i < MEMBERS; i++) {
        if (raft_lease_valid(c->members[i].raft, clock_now())) {
            return i;
        }
    }
    return -1;
}

static void
propose(struct cluster *c)
{
    char data[ENTRY_BYTES] = {0};
    int leader = leader_of(c);

    c->idle = false;
    for (uint32_t w = 0; leader >= 0 && w < c->writers; w++) {
        if (c->proposed[w] != 0 || c->committed >= c->until) {
            continue;
        }
        memcpy(data, &w, sizeof(w));
        c->proposed[w] = clock_now();
        if (raft_propose(c->members[leader].raft, c->proposed[w],
                         str_from(data, sizeof(data)), NULL) != RAFT_OK) {
            die("proposal refused");
        }
        if (!c->group) {
            drain(c, leader);
        }
    }
}

static void
wait_for_storage(struct cluster *c)
{
    struct pollfd p[MEMBERS];

    for (int i = 0; i < MEMBERS; i++) {
        p[i] = (struct pollfd){ring_fd(c->members[i].done), POLLIN, 0};
    }
    poll(p, MEMBERS, c->first == NULL && !c->idle ? 1 : 0);
}

static void
turn(struct cluster *c)
{
    int64_t now;

    if (c->threads) {
        wait_for_storage(c);
    }
    for (int i = 0; c->threads && i < MEMBERS; i++) {
        take_done(c, i);
    }
    deliver(c);
    propose(c);
    now = clock_now();
    for (int i = 0; i < MEMBERS; i++) {
        if (now >= raft_next_deadline(c->members[i].raft)) {
            raft_tick(c->members[i].raft, now);
        }
        drain(c, i);
    }
}

static void
member_start(struct cluster *c, int i, const char *dir, size_t window)
{
    struct member *m = &c->members[i];
    struct raft_config config;
    struct store_restored restored;

    m->cluster = c;
    snprintf(m->dir, sizeof(m->dir), "%s/member-%d", dir, i);
    if (store_open(m->dir, NULL, &restored, &m->store) != STORE_OK ||
        restored.state != STORE_EMPTY ||
        store_init(m->store, (uint64_t)i + 1, 1) != STORE_OK) {
        die("cannot create a store; DIR must exist and be empty");
    }
    raft_config_init(&config, (uint64_t)i + 1, (uint64_t)i + 1);
    if (window != 0) {
        config.window_bytes = window;
        config.window_entries = window;
    }
    m->raft = raft_create(&config, &restored.raft, clock_now());
    store_restored_free(&restored);
    if (c->threads) {
        m->todo = ring_create(RING_SLOTS);
        m->done = ring_create(RING_SLOTS);
        if (pthread_create(&m->thread, NULL, storage_main, m) != 0) {
            die("pthread_create failed");
        }
    }
}

static struct cluster *
cluster_start(const char *dir, bool threads, bool group, unsigned writers,
              size_t window)
{
    struct cluster *c = mem_zalloc(1, sizeof(*c));
    struct raft_member members[MEMBERS];

    c->last = &c->first;
    c->threads = threads;
    c->group = group;
    c->writers = writers;
    c->stalled = -1;
    c->samples = mem_alloc(MAX_SAMPLES * sizeof(*c->samples));
    for (int i = 0; i < MEMBERS; i++) {
        member_start(c, i, dir, window);
        members[i] = (struct raft_member){(uint64_t)i + 1, true, STR("vm"),
                                          STR("127.0.0.1:1")};
    }
    /* Members that have just started give no votes for a while. */
    usleep(600000);
    raft_bootstrap(c->members[0].raft, clock_now(), members, MEMBERS);
    while (leader_of(c) < 0) {
        turn(c);
    }
    c->until = UINT64_MAX;
    return c;
}

static void
member_stop(struct member *m)
{
    char path[512];

    if (m->cluster->threads) {
        struct job *j;

        ring_push(m->todo, mem_zalloc(1, sizeof(*j)));
        pthread_join(m->thread, NULL);
        while ((j = ring_pop(m->done)) != NULL) {
            job_free(j);
        }
        ring_destroy(m->todo);
        ring_destroy(m->done);
    }
    job_free(m->open);
    raft_destroy(m->raft);
    store_close(m->store);
    for (unsigned i = 1; i < 64; i++) {
        snprintf(path, sizeof(path), "%s/log-%016x", m->dir, i);
        unlink(path);
    }
    snprintf(path, sizeof(path), "%s/identity", m->dir);
    unlink(path);
    rmdir(m->dir);
}

static void
cluster_stop(struct cluster *c)
{
    struct packet *next;

    for (int i = 0; i < MEMBERS; i++) {
        member_stop(&c->members[i]);
    }
    for (struct packet *p = c->first; p != NULL; p = next) {
        next = p->next;
        str_free(&p->bytes);
        mem_free(p);
    }
    mem_free(c->samples);
    mem_free(c);
}

static int
compare_i64(const void *a, const void *b)
{
    int64_t x = *(const int64_t *)a;
    int64_t y = *(const int64_t *)b;

    return (x > y) - (x < y);
}

static double
percentile_ms(const struct cluster *c, size_t per_cent)
{
    size_t at = c->sample_count * per_cent / 100;

    if (c->sample_count == 0) {
        return 0;
    }
    return (double)c->samples[at] / (double)NS_PER_MS;
}

static void
run_disk(const char *dir, double seconds, bool group, unsigned writers)
{
    struct cluster *c = cluster_start(dir, true, group, writers, 0);
    int64_t start = clock_now();
    int64_t end = start + (int64_t)(seconds * (double)NS_PER_S);
    uint64_t syncs = c->members[0].syncs;
    double took;

    while (clock_now() < end) {
        turn(c);
    }
    took = (double)(clock_now() - start) / (double)NS_PER_S;
    syncs = c->members[0].syncs - syncs;
    qsort(c->samples, c->sample_count, sizeof(*c->samples), compare_i64);
    printf("| %u | %s | %.0f | %.2f | %.2f | %.1f |\n", writers,
           group ? "on" : "off", (double)c->committed / took,
           percentile_ms(c, 50), percentile_ms(c, 99),
           (double)c->committed / (double)(syncs == 0 ? 1 : syncs));
    fflush(stdout);
    cluster_stop(c);
}

static void
run_inline(const char *dir, uint64_t entries, unsigned writers)
{
    struct cluster *c = cluster_start(dir, false, true, writers, 0);

    c->until = entries;
    while (c->committed < entries) {
        turn(c);
    }
    cluster_stop(c);
}

static void
run_stalled(const char *dir, uint64_t entries, size_t window)
{
    struct cluster *c = cluster_start(dir, false, true, 256, window);

    c->stalled = leader_of(c) == 0 ? 1 : 0;
    c->until = entries;
    while (c->committed < entries) {
        turn(c);
    }
    printf("window %zu bytes: %lu bytes queued for the stalled member after "
           "%lu commits\n",
           window, c->stalled_bytes, entries);
    cluster_stop(c);
}

static void
table(const char *dir, double seconds)
{
    static const unsigned writers[] = {1, 16, 256};

    puts("| writers | group commit | commits/s | p50 ms | p99 ms | "
         "entries per sync |\n|---|---|---|---|---|---|");
    for (size_t i = 0; i < 3; i++) {
        run_disk(dir, seconds, true, writers[i]);
        run_disk(dir, seconds, false, writers[i]);
    }
}

int
main(int argc, char **argv)
{
    if (argc == 4 && strcmp(argv[1], "disk") == 0) {
        table(argv[2], strtod(argv[3], NULL));
    }
    else if (argc == 5 && strcmp(argv[1], "inline") == 0) {
        run_inline(argv[2], strtoull(argv[3], NULL, 10),
                   (unsigned)strtoul(argv[4], NULL, 10));
    }
    else if (argc == 4 && strcmp(argv[1], "stalled") == 0) {
        run_stalled(argv[2], strtoull(argv[3], NULL, 10), 2 << 20);
        run_stalled(argv[2], strtoull(argv[3], NULL, 10), SIZE_MAX);
    }
    else {
        die("usage: disk DIR SECONDS | inline DIR ENTRIES WRITERS | "
            "stalled DIR ENTRIES");
    }
    return 0;
}
