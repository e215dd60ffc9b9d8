/*
 * Measures commits of three raft members that write to stores on disk and
 * exchange messages in memory. DIR must exist and hold no member-* folders.
 *
 *   bench_commit disk DIR SECONDS   prints a table of commit rates and
 *                                   latencies; SECONDS for each row
 *   bench_commit inline DIR ENTRIES WRITERS   writes without storage threads,
 *                                             for callgrind
 *   bench_commit stalled DIR ENTRIES   prints the bytes that are sent to a
 *                                      member that acknowledges nothing
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
    MAX_LATENCIES = 1 << 21, /* later commits are counted but not timed */
    RING_SLOTS = 4096,
};

struct write_job {
    struct store_batch *batch;
    uint64_t write; /* number of the newest raft write in the batch */
};

struct member {
    struct cluster *cluster;
    struct raft *raft;
    struct store *store;
    char dir[256];
    pthread_t thread;
    struct ring *writes;       /* struct write_job, to the storage thread */
    struct ring *written;      /* struct write_job, from the storage thread */
    struct write_job *pending; /* not submitted yet, or NULL */
    unsigned writes_in_flight; /* jobs in writes and written */
    uint64_t syncs;            /* submitted jobs; each is synced once */
};

struct packet {
    struct packet *next;
    int from;
    int to;
    struct str bytes;
};

struct cluster {
    struct member members[MEMBERS];
    struct packet *first_packet;
    struct packet **packet_tail; /* where the next packet is linked */
    bool storage_threads;
    bool group_commit; /* entries are collected during a write */
    int stalled; /* index of the member that gets no messages, -1: none */
    uint64_t stalled_bytes;           /* of the messages dropped for it */
    int64_t proposed_ns[MAX_WRITERS]; /* time of the open proposal, 0: none */
    unsigned writers;
    bool writer_idle;      /* a commit since propose() last ran */
    uint64_t committed;    /* entries, as the leader counts */
    uint64_t commit_limit; /* after as many commits nothing is proposed */
    int64_t *latencies_ns;
    size_t latency_count;
};

static void
die(const char *what)
{
    fprintf(stderr, "bench_commit: %s\n", what);
    exit(1);
}

static struct write_job *
write_job_create(void)
{
    struct write_job *j = mem_zalloc(1, sizeof(*j));

    j->batch = store_batch_create();
    return j;
}

static void
write_job_free(struct write_job *j)
{
    if (j != NULL) {
        store_batch_destroy(j->batch);
        mem_free(j);
    }
}

/* Writes the jobs of the ring; one without a batch ends the thread. */
static void *
storage_main(void *arg)
{
    struct member *m = arg;
    struct write_job *j;

    for (;;) {
        struct pollfd p = {.fd = ring_fd(m->writes), .events = POLLIN};

        poll(&p, 1, -1);
        ring_clear(m->writes);
        while ((j = ring_pop(m->writes)) != NULL) {
            if (j->batch == NULL) {
                mem_free(j);
                return NULL;
            }
            if (store_write(m->store, j->batch) != STORE_OK) {
                die("store_write failed");
            }
            ring_push(m->written, j);
        }
    }
}

/* Writes the pending job, or passes it to the storage thread. With group
 * commit the job stays pending while the thread has another one. */
static void
submit(struct member *m)
{
    struct write_job *j = m->pending;

    if (j == NULL || (m->cluster->group_commit && m->writes_in_flight > 0)) {
        return;
    }
    m->pending = NULL;
    m->syncs++;
    if (m->cluster->storage_threads) {
        m->writes_in_flight++;
        ring_push(m->writes, j);
        return;
    }
    if (store_write(m->store, j->batch) != STORE_OK) {
        die("store_write failed");
    }
    raft_write_synced(m->raft, clock_now(), j->write);
    write_job_free(j);
}

static void
queue_message(struct cluster *c, int from, const struct raft_message *msg)
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
    *c->packet_tail = p;
    c->packet_tail = &p->next;
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
    if (c->latency_count < MAX_LATENCIES) {
        c->latencies_ns[c->latency_count] = now - c->proposed_ns[writer];
        c->latency_count++;
    }
    c->proposed_ns[writer] = 0;
    c->writer_idle = true;
}

/* Sends messages, submits writes and counts commits of a member. */
static void
process_output(struct cluster *c, int i)
{
    struct member *m = &c->members[i];
    struct raft_output out;
    struct raft_status s;

    while (raft_ready(m->raft, clock_now(), &out)) {
        for (size_t k = 0; k < out.message_count; k++) {
            queue_message(c, i, &out.messages[k]);
        }
        if (out.write != 0) {
            m->pending = m->pending == NULL ? write_job_create() : m->pending;
            store_batch_output(m->pending->batch, &out);
            m->pending->write = out.write;
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
complete_writes(struct cluster *c, int i)
{
    struct member *m = &c->members[i];
    struct write_job *j;

    ring_clear(m->written);
    while ((j = ring_pop(m->written)) != NULL) {
        m->writes_in_flight--;
        raft_write_synced(m->raft, clock_now(), j->write);
        write_job_free(j);
    }
}

static void
deliver(struct cluster *c)
{
    struct packet *p = c->first_packet;

    c->first_packet = NULL;
    c->packet_tail = &c->first_packet;
    while (p != NULL) {
        struct packet *next = p->next;

        raft_receive(c->members[p->to].raft, clock_now(),
                     (uint64_t)p->from + 1, p->bytes);
        if (!c->group_commit) {
            process_output(c, p->to);
        }
        str_free(&p->bytes);
        mem_free(p);
        p = next;
    }
}

/* Returns the index of the member with a valid leader lease, or -1. */
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

/* Proposes an entry for each writer that has no open proposal. */
static void
propose(struct cluster *c)
{
    char data[ENTRY_BYTES] = {0};
    int leader = leader_of(c);

    c->writer_idle = false;
    for (uint32_t w = 0; leader >= 0 && w < c->writers; w++) {
        if (c->proposed_ns[w] != 0 || c->committed >= c->commit_limit) {
            continue;
        }
        memcpy(data, &w, sizeof(w));
        c->proposed_ns[w] = clock_now();
        if (raft_propose(c->members[leader].raft, c->proposed_ns[w],
                         str_from(data, sizeof(data)), NULL) != RAFT_OK) {
            die("proposal refused");
        }
        if (!c->group_commit) {
            process_output(c, leader);
        }
    }
}

static void
wait_for_storage(struct cluster *c)
{
    struct pollfd p[MEMBERS];

    for (int i = 0; i < MEMBERS; i++) {
        p[i] = (struct pollfd){ring_fd(c->members[i].written), POLLIN, 0};
    }
    poll(p, MEMBERS, c->first_packet == NULL && !c->writer_idle ? 1 : 0);
}

static void
run_once(struct cluster *c)
{
    int64_t now;

    if (c->storage_threads) {
        wait_for_storage(c);
    }
    for (int i = 0; c->storage_threads && i < MEMBERS; i++) {
        complete_writes(c, i);
    }
    deliver(c);
    propose(c);
    now = clock_now();
    for (int i = 0; i < MEMBERS; i++) {
        if (now >= raft_next_deadline(c->members[i].raft)) {
            raft_tick(c->members[i].raft, now);
        }
        process_output(c, i);
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
    if (c->storage_threads) {
        m->writes = ring_create(RING_SLOTS);
        m->written = ring_create(RING_SLOTS);
        if (pthread_create(&m->thread, NULL, storage_main, m) != 0) {
            die("pthread_create failed");
        }
    }
}

/* Starts the members and waits for a leader. window is raft's window_bytes and
 * window_entries, 0: the defaults. */
static struct cluster *
cluster_start(const char *dir, bool threads, bool group_commit,
              unsigned writers, size_t window)
{
    struct cluster *c = mem_zalloc(1, sizeof(*c));
    struct raft_member members[MEMBERS];

    c->packet_tail = &c->first_packet;
    c->storage_threads = threads;
    c->group_commit = group_commit;
    c->writers = writers;
    c->stalled = -1;
    c->latencies_ns = mem_alloc(MAX_LATENCIES * sizeof(*c->latencies_ns));
    for (int i = 0; i < MEMBERS; i++) {
        member_start(c, i, dir, window);
        members[i] = (struct raft_member){(uint64_t)i + 1, true, STR("vm"),
                                          STR("127.0.0.1:1")};
    }
    /* Members refuse votes for a while after they start. */
    usleep(600000);
    raft_bootstrap(c->members[0].raft, clock_now(), members, MEMBERS);
    while (leader_of(c) < 0) {
        run_once(c);
    }
    c->commit_limit = UINT64_MAX;
    return c;
}

static void
member_stop(struct member *m)
{
    char path[512];

    if (m->cluster->storage_threads) {
        struct write_job *j;

        ring_push(m->writes, mem_zalloc(1, sizeof(*j)));
        pthread_join(m->thread, NULL);
        while ((j = ring_pop(m->written)) != NULL) {
            write_job_free(j);
        }
        ring_destroy(m->writes);
        ring_destroy(m->written);
    }
    write_job_free(m->pending);
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
    for (struct packet *p = c->first_packet; p != NULL; p = next) {
        next = p->next;
        str_free(&p->bytes);
        mem_free(p);
    }
    mem_free(c->latencies_ns);
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
percentile_ms(const struct cluster *c, size_t percent)
{
    size_t at = c->latency_count * percent / 100;

    if (c->latency_count == 0) {
        return 0;
    }
    return (double)c->latencies_ns[at] / (double)NS_PER_MS;
}

static void
run_disk(const char *dir, double seconds, bool group_commit, unsigned writers)
{
    struct cluster *c = cluster_start(dir, true, group_commit, writers, 0);
    int64_t start = clock_now();
    int64_t end = start + (int64_t)(seconds * (double)NS_PER_S);
    uint64_t syncs = c->members[0].syncs;
    double took;

    while (clock_now() < end) {
        run_once(c);
    }
    took = (double)(clock_now() - start) / (double)NS_PER_S;
    syncs = c->members[0].syncs - syncs;
    qsort(c->latencies_ns, c->latency_count, sizeof(*c->latencies_ns),
          compare_i64);
    printf("| %u | %s | %.0f | %.2f | %.2f | %.1f |\n", writers,
           group_commit ? "on" : "off", (double)c->committed / took,
           percentile_ms(c, 50), percentile_ms(c, 99),
           (double)c->committed / (double)(syncs == 0 ? 1 : syncs));
    fflush(stdout);
    cluster_stop(c);
}

static void
run_inline(const char *dir, uint64_t entries, unsigned writers)
{
    struct cluster *c = cluster_start(dir, false, true, writers, 0);

    c->commit_limit = entries;
    while (c->committed < entries) {
        run_once(c);
    }
    cluster_stop(c);
}

static void
run_stalled(const char *dir, uint64_t entries, size_t window)
{
    struct cluster *c = cluster_start(dir, false, true, 256, window);

    c->stalled = leader_of(c) == 0 ? 1 : 0;
    c->commit_limit = entries;
    while (c->committed < entries) {
        run_once(c);
    }
    printf("window %zu bytes: %lu bytes queued for the stalled member after "
           "%lu commits\n",
           window, c->stalled_bytes, entries);
    cluster_stop(c);
}

static void
print_table(const char *dir, double seconds)
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
        print_table(argv[2], strtod(argv[3], NULL));
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
