#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

#include "faulty_fs.h"
#include "store.h"

enum {
    MEMBER_ID = 7,
    CLUSTER_ID = 9,
    STEP_COUNT = 9,
};

struct fixture {
    char *top;
    char *dir;
    struct faulty_fs *faulty;
};

static void
set_up(struct fixture *x)
{
    x->top = g_dir_make_tmp("store-XXXXXX", NULL);
    x->dir = g_build_filename(x->top, "data", NULL);
    x->faulty = faulty_fs_create();
    x->faulty->no_sync = true;
}

static void
tear_down(struct fixture *x)
{
    remove_tree(x->top);
    faulty_fs_destroy(x->faulty);
    g_free(x->dir);
    g_free(x->top);
}

static enum store_error
write_entries(struct store *s, uint64_t first, uint64_t count, uint64_t term,
              uint64_t vote)
{
    struct store_batch *b = store_batch_create();
    struct raft_hard_state hard = {term, vote};
    enum store_error error;

    if (vote != 0) {
        store_batch_hard_state(b, &hard);
    }
    for (uint64_t i = 0; i < count; i++) {
        char text[32];
        struct raft_entry e = {first + i, term, RAFT_ENTRY_DATA, {text, 0}};

        e.data.len = (size_t)g_snprintf(text, sizeof(text),
                                        "entry %" G_GUINT64_FORMAT "/%u",
                                        first + i, (unsigned)term);
        store_batch_entries(b, &e, 1);
    }
    error = store_write(s, b);
    store_batch_destroy(b);
    return error;
}

static enum store_error
write_snapshot(struct store *s, uint64_t index, uint64_t term, bool reset)
{
    struct raft_snapshot meta = {index, term, STR("members")};
    struct store_snapshot *w;
    enum store_error error = store_snapshot_begin(s, &meta, &w);

    if (error == STORE_OK) {
        error = store_snapshot_write(w, STR("state of "));
        if (error == STORE_OK) {
            error = store_snapshot_write(w, STR("the machine"));
        }
        if (error != STORE_OK) {
            store_snapshot_abort(w);
            return error;
        }
        error = store_snapshot_commit(w, reset);
    }
    return error;
}

/* Together the steps use every operation of the store that writes. */
static enum store_error
run_step(struct store *s, int i)
{
    switch (i) {
    case 0:
        return store_init(s, MEMBER_ID, 0);
    case 1:
        return store_set_cluster(s, CLUSTER_ID);
    case 2:
        return write_entries(s, 1, 3, 1, MEMBER_ID);
    case 3:
        return write_entries(s, 4, 2, 1, 0);
    case 4:
        return write_entries(s, 4, 1, 2, 3); /* replaces 4 and 5 */
    case 5:
        return write_snapshot(s, 3, 1, false);
    case 6:
        return write_entries(s, 5, 2, 2, 0);
    case 7:
        return write_snapshot(s, 20, 4, true);
    default:
        return write_entries(s, 21, 1, 5, 1);
    }
}

/* Opens dir and returns its content or the error as text. */
static char *
describe_dir(const char *dir, const struct store_fs *fs)
{
    struct store_restored r;
    struct store *s;
    enum store_error error = store_open(dir, fs, &r, &s);
    GString *out = g_string_new(NULL);

    if (error != STORE_OK) {
        g_string_printf(out, "%s: %s", store_error_text(error), r.reason);
    }
    else if (r.state == STORE_EMPTY) {
        g_string_assign(out, "empty");
    }
    else {
        g_string_printf(
            out, "%u/%u hard %u/%u snapshot %u/%u:", (unsigned)r.member_id,
            (unsigned)r.cluster_id, (unsigned)r.raft.hard.term,
            (unsigned)r.raft.hard.vote, (unsigned)r.raft.snapshot.index,
            (unsigned)r.raft.snapshot.term);
    }
    for (size_t i = 0; error == STORE_OK && i < r.raft.entry_count; i++) {
        const struct raft_entry *e = &r.raft.entries[i];

        g_string_append_printf(out, " %u=%.*s", (unsigned)e->index,
                               STR_ARG(e->data));
    }
    if (error == STORE_OK && r.raft.snapshot.index != 0) {
        struct buf data = {0};

        g_assert_cmpint(store_snapshot_read(s, r.raft.snapshot.index, 0,
                                            SIZE_MAX, &data, NULL),
                        ==, STORE_OK);
        g_assert_true(str_eq(buf_str(&data), STR("state of the machine")));
        g_assert_true(str_eq(r.raft.snapshot.members, STR("members")));
        buf_free(&data);
    }
    store_restored_free(&r);
    store_close(s);
    return g_string_free(out, FALSE);
}

/*
 * Runs the steps from first until one fails. Returns the step that failed, or
 * steps.
 */
static int
run_steps_from(const struct fixture *x, const struct store_fs *fs, int first,
               int steps)
{
    struct store_restored r;
    struct store *s;
    int done = first;

    if (store_open(x->dir, fs, &r, &s) == STORE_OK) {
        while (done < steps && run_step(s, done) == STORE_OK) {
            done++;
        }
        /* After a failed write or sync the store must refuse all writes; a
           snapshot that fails before its rename leaves the log usable. */
        if (done < steps && done > 2 && done != 5 && done != 7) {
            g_assert_cmpint(write_entries(s, 1, 1, 9, 9), !=, STORE_OK);
        }
    }
    store_restored_free(&r);
    store_close(s);
    return done;
}

static int
run_steps(const struct fixture *x, const struct store_fs *fs, int steps)
{
    return run_steps_from(x, fs, 0, steps);
}

static void
describe_expected(char *expected[STEP_COUNT + 1])
{
    for (int i = 0; i <= STEP_COUNT; i++) {
        struct fixture x;

        set_up(&x);
        g_assert_cmpint(run_steps(&x, &x.faulty->fs, i), ==, i);
        expected[i] = describe_dir(x.dir, &x.faulty->fs);
        tear_down(&x);
    }
}

/*
 * Guards against acknowledged data being lost, or a healthy directory being
 * reported as damaged, after a failure at any file operation. The result must
 * be the state before or after the step that failed.
 */
static void
check_fault_at(char *const expected[], unsigned at, int error, bool crash,
               bool lose, bool *reached)
{
    struct fixture x;
    char *got;
    int done;

    set_up(&x);
    x.faulty->fail_at = at;
    x.faulty->error = error;
    x.faulty->crash = crash;
    done = run_steps(&x, &x.faulty->fs, STEP_COUNT);
    *reached = x.faulty->ops >= at;
    x.faulty->fail_at = 0;
    if (lose) {
        faulty_fs_lose_power(x.faulty);
    }
    got = describe_dir(x.dir, &x.faulty->fs);
    if (done < STEP_COUNT && strcmp(got, expected[done]) != 0) {
        done++;
    }
    if (strcmp(got, expected[done]) != 0) {
        g_test_message("operation %u, step %d: %s", at, done, got);
        g_test_fail();
    }
    g_free(got);
    /* What store_open returned must survive a power loss. */
    faulty_fs_lose_power(x.faulty);
    got = describe_dir(x.dir, &x.faulty->fs);
    g_assert_cmpstr(got, ==, expected[done]);
    g_free(got);
    /* The remaining steps must work as without a fault. */
    run_steps_from(&x, &x.faulty->fs, done, STEP_COUNT);
    got = describe_dir(x.dir, &x.faulty->fs);
    g_assert_cmpstr(got, ==, expected[STEP_COUNT]);
    g_free(got);
    tear_down(&x);
}

static void
test_faults(void)
{
    static const int errors[] = {EIO, ENOSPC};
    char *expected[STEP_COUNT + 1];
    unsigned at = 1;
    bool reached = true;

    describe_expected(expected);
    while (reached) {
        for (int i = 0; i < 2; i++) {
            check_fault_at(expected, at, errors[i], false, false, &reached);
        }
        check_fault_at(expected, at, EIO, true, false, &reached);
        check_fault_at(expected, at, EIO, true, true, &reached);
        at++;
    }
    g_test_message("%u operations", at - 2);
    g_assert_cmpuint(at, >, 60);
    for (int i = 0; i <= STEP_COUNT; i++) {
        g_free(expected[i]);
    }
}

static char *
find_last_log(const char *dir)
{
    GDir *d = g_dir_open(dir, 0, NULL);
    char *best = NULL;
    const char *name;

    while ((name = g_dir_read_name(d)) != NULL) {
        if (g_str_has_prefix(name, "log-") &&
            (best == NULL || strcmp(name, best) > 0)) {
            g_free(best);
            best = g_strdup(name);
        }
    }
    g_dir_close(d);
    return best;
}

/* Describes a copy of the directory with one file's content replaced. */
static char *
describe_with_file(struct fixture *x, const char *name, const char *bytes,
                   size_t len)
{
    char *copy = g_build_filename(x->top, "copy", NULL);
    GDir *d = g_dir_open(x->dir, 0, NULL);
    const char *entry;
    char *result;

    g_assert_cmpint(g_mkdir(copy, 0700), ==, 0);
    while ((entry = g_dir_read_name(d)) != NULL) {
        char *from = g_build_filename(x->dir, entry, NULL);
        char *to = g_build_filename(copy, entry, NULL);
        char *content;
        gsize size;

        g_assert_true(g_file_get_contents(from, &content, &size, NULL));
        g_assert_true(strcmp(entry, name) == 0
                          ? g_file_set_contents_full(to, bytes, (gssize)len,
                                                     G_FILE_SET_CONTENTS_NONE,
                                                     0600, NULL)
                          : g_file_set_contents_full(to, content, (gssize)size,
                                                     G_FILE_SET_CONTENTS_NONE,
                                                     0600, NULL));
        g_free(content);
        g_free(from);
        g_free(to);
    }
    g_dir_close(d);
    result = describe_dir(copy, &x->faulty->fs);
    remove_tree(copy);
    g_free(copy);
    return result;
}

/*
 * Whether the damage or loss of a file was detected. Snapshot 3 is not needed
 * while the log still holds all entries from 1 on.
 */
static bool
damage_detected(const char *file, const char *got)
{
    return g_str_has_prefix(got, "damaged data: ") ||
           (strcmp(file, "snap-0000000000000003") == 0 &&
            g_str_has_prefix(got, "7/9 hard 2/3 snapshot 0/0: 1=entry 1/1 "
                                  "2=entry 2/1 3=entry 3/1 4=entry 4/2"));
}

/* Guards against an undetected bit flip in any byte of any file. */
static void
test_flips(gconstpointer data)
{
    int steps = GPOINTER_TO_INT(data);
    struct fixture x;
    GDir *d;
    const char *name;
    unsigned flips = 0;

    set_up(&x);
    g_assert_cmpint(run_steps(&x, &x.faulty->fs, steps), ==, steps);
    d = g_dir_open(x.dir, 0, NULL);
    while ((name = g_dir_read_name(d)) != NULL) {
        char *path = g_build_filename(x.dir, name, NULL);
        char *bytes;
        gsize len;

        g_assert_true(g_file_get_contents(path, &bytes, &len, NULL));
        for (gsize i = 0; i < len; i++) {
            char *got;

            bytes[i] ^= 0x10;
            got = describe_with_file(&x, name, bytes, len);
            bytes[i] ^= 0x10;
            if (!damage_detected(name, got)) {
                g_test_message("%s offset %u: %s", name, (unsigned)i, got);
                g_test_fail();
            }
            g_free(got);
            flips++;
        }
        g_free(bytes);
        g_free(path);
    }
    g_dir_close(d);
    g_test_message("%u flips", flips);
    g_assert_cmpuint(flips, >, 200);
    tear_down(&x);
}

/*
 * Guards against a torn last batch being reported as damage, and against a
 * part of a batch being kept. Truncates the log to every length, and replaces
 * the end of the last batch by zeros from every offset.
 */
static void
test_torn(void)
{
    struct fixture x;
    char *name;
    char *path;
    char *bytes;
    char *before;
    char *after;
    gsize len;
    gsize start;

    set_up(&x);
    g_assert_cmpint(run_steps(&x, &x.faulty->fs, 6), ==, 6);
    before = describe_dir(x.dir, &x.faulty->fs);
    name = find_last_log(x.dir);
    path = g_build_filename(x.dir, name, NULL);
    g_assert_true(g_file_get_contents(path, &bytes, &start, NULL));
    g_free(bytes);
    tear_down(&x);

    set_up(&x);
    g_assert_cmpint(run_steps(&x, &x.faulty->fs, 7), ==, 7);
    after = describe_dir(x.dir, &x.faulty->fs);
    g_assert_cmpstr(before, !=, after);
    g_free(path);
    path = g_build_filename(x.dir, name, NULL);
    g_assert_true(g_file_get_contents(path, &bytes, &len, NULL));
    for (gsize cut = 0; cut <= len; cut++) {
        char *got = describe_with_file(&x, name, bytes, cut);
        char *zeros = g_malloc0(len);

        if (cut < start) {
            g_assert_true(g_str_has_prefix(got, "damaged data: "));
        }
        else {
            g_assert_cmpstr(got, ==, cut < len ? before : after);
        }
        g_free(got);
        memcpy(zeros, bytes, cut);
        if (cut >= start && cut + 8 <= len) {
            got = describe_with_file(&x, name, zeros, len);
            g_assert_cmpstr(got, ==, before);
            g_free(got);
        }
        g_free(zeros);
    }
    g_free(bytes);
    g_free(before);
    g_free(after);
    g_free(name);
    g_free(path);
    tear_down(&x);
}

/* Guards against a store with a lost file being opened as empty or healthy. */
static void
test_missing_file(void)
{
    static const int steps[] = {3, 6, 7, 9};

    for (size_t k = 0; k < G_N_ELEMENTS(steps); k++) {
        struct fixture x;
        GDir *d;
        const char *name;

        set_up(&x);
        run_steps(&x, &x.faulty->fs, steps[k]);
        d = g_dir_open(x.dir, 0, NULL);
        while ((name = g_dir_read_name(d)) != NULL) {
            char *path = g_build_filename(x.dir, name, NULL);
            char *hidden = g_build_filename(x.top, "away", NULL);
            char *got;

            g_assert_cmpint(rename(path, hidden), ==, 0);
            got = describe_dir(x.dir, &x.faulty->fs);
            g_assert_true(damage_detected(name, got));
            g_assert_cmpint(rename(hidden, path), ==, 0);
            g_free(got);
            g_free(path);
            g_free(hidden);
        }
        g_dir_close(d);
        tear_down(&x);
    }
}

/*
 * Guards against a directory that can be opened with its old identity, but
 * without all of its data, after a crash in store_set_aside.
 */
static void
test_set_aside(void)
{
    struct fixture x;
    unsigned at = 0;
    enum store_error error;

    do {
        char *got;

        set_up(&x);
        run_steps(&x, &x.faulty->fs, STEP_COUNT);
        at++;
        x.faulty->ops = 0;
        x.faulty->fail_at = at;
        x.faulty->crash = true;
        error = store_set_aside(x.dir, &x.faulty->fs);
        x.faulty->fail_at = 0;
        got = describe_dir(x.dir, &x.faulty->fs);
        if (error != STORE_OK && strcmp(got, "empty") != 0) {
            /* Either all of the data is there or the open is refused. */
            g_assert_true(g_str_has_prefix(got, "7/9 hard 5/1") ||
                          g_str_has_prefix(got, "damaged data: "));
            g_assert_cmpint(store_set_aside(x.dir, &x.faulty->fs), ==,
                            STORE_OK);
            g_free(got);
            got = describe_dir(x.dir, &x.faulty->fs);
        }
        g_assert_cmpstr(got, ==, "empty");
        g_free(got);
        tear_down(&x);
    } while (error != STORE_OK);
    g_assert_cmpuint(at, >, 5);
}

/* Guards against more than one write and one sync per batch. */
static void
test_one_sync(void)
{
    struct fixture x;
    struct store_restored r;
    struct store *s;

    set_up(&x);
    g_assert_cmpint(store_open(x.dir, &x.faulty->fs, &r, &s), ==, STORE_OK);
    g_assert_cmpint(r.state, ==, STORE_EMPTY);
    g_assert_cmpint(write_entries(s, 1, 1, 1, 0), ==, STORE_ERR_INVALID);
    g_assert_cmpint(store_init(s, MEMBER_ID, CLUSTER_ID), ==, STORE_OK);
    g_assert_cmpint(store_set_cluster(s, CLUSTER_ID + 1), ==,
                    STORE_ERR_IDENTITY);
    x.faulty->syncs = 0;
    x.faulty->writes = 0;
    g_assert_cmpint(write_entries(s, 1, 100, 1, MEMBER_ID), ==, STORE_OK);
    g_assert_cmpuint(x.faulty->syncs, ==, 1);
    g_assert_cmpuint(x.faulty->writes, ==, 1);
    store_close(s);
    tear_down(&x);
}

/*
 * Guards against a log of several segments that is restored incompletely or
 * not dropped by a snapshot, and against two opens of one directory.
 */
static void
test_segments(void)
{
    struct fixture x;
    struct store_restored r;
    struct store *s;
    struct store_batch *b = store_batch_create();
    char *data = g_malloc0(1 << 20);
    struct raft_entry e = {0, 1, RAFT_ENTRY_DATA, {data, 1 << 20}};
    char *last;

    set_up(&x);
    g_assert_cmpint(store_open(x.dir, &x.faulty->fs, &r, &s), ==, STORE_OK);
    g_assert_cmpint(store_init(s, MEMBER_ID, CLUSTER_ID), ==, STORE_OK);
    for (e.index = 1; e.index <= 30; e.index++) {
        store_batch_clear(b);
        store_batch_entries(b, &e, 1);
        g_assert_cmpint(store_write(s, b), ==, STORE_OK);
    }
    store_close(s);
    last = find_last_log(x.dir);
    g_assert_cmpstr(last, ==, "log-0000000000000004");
    g_assert_cmpint(store_open(x.dir, &x.faulty->fs, &r, &s), ==, STORE_OK);
    g_assert_cmpuint(r.raft.entry_count, ==, 30);
    g_assert_cmpuint(r.raft.entries[29].data.len, ==, 1 << 20);
    store_restored_free(&r);
    g_assert_cmpint(write_snapshot(s, 30, 1, false), ==, STORE_OK);
    store_close(s);
    g_free(last);
    last = find_last_log(x.dir);
    g_assert_cmpstr(last, ==, "log-0000000000000005");
    g_assert_cmpint(store_open(x.dir, &x.faulty->fs, &r, &s), ==, STORE_OK);
    g_assert_cmpuint(r.raft.entry_count, ==, 0);
    store_restored_free(&r);
    /* A second open of the directory must be refused. */
    {
        struct store *other;

        g_assert_cmpint(store_open(x.dir, &x.faulty->fs, &r, &other), ==,
                        STORE_ERR_BUSY);
    }
    store_close(s);
    store_batch_destroy(b);
    g_free(data);
    g_free(last);
    tear_down(&x);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/store/faults", test_faults);
    g_test_add_data_func("/store/flips/log", GINT_TO_POINTER(7), test_flips);
    g_test_add_data_func("/store/flips/snapshot", GINT_TO_POINTER(9),
                         test_flips);
    g_test_add_func("/store/torn", test_torn);
    g_test_add_func("/store/missing-file", test_missing_file);
    g_test_add_func("/store/set-aside", test_set_aside);
    g_test_add_func("/store/one-sync", test_one_sync);
    g_test_add_func("/store/segments", test_segments);
    return g_test_run();
}
