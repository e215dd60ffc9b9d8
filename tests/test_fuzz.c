#include <glib.h>

#include "fuzz_target.h"
#include "state_gen.h"

enum {
    SEEDS = 40,
    COMMANDS = 60,
};

/* A valid sequence of commands as fuzz_commands reads them. */
static void
valid_commands(uint64_t seed, struct buf *out)
{
    struct state_gen g = {.rng = {seed}, .wall_ms = 1700000000000};
    struct state *s = state_create();
    struct buf cmd = {0};
    struct state_result result;

    for (uint64_t i = 1; i <= COMMANDS; i++) {
        state_gen_command(&g, s, &cmd);
        state_apply(s, i, buf_str(&cmd), &result);
        unsigned char len[2] = {(unsigned char)(cmd.len >> 8),
                                (unsigned char)cmd.len};
        buf_append(out, len, sizeof(len));
        buf_append_str(out, buf_str(&cmd));
    }
    state_destroy(s);
    buf_free(&cmd);
}

static void
flip_some(struct rng *rng, struct buf *bytes)
{
    for (int i = 0; i < 4; i++) {
        bytes->ptr[rng_below(rng, bytes->len)] ^=
            (char)(1 + rng_below(rng, 255));
    }
}

/* Guards against commands that break the state or its snapshot. */
static void
test_commands(void)
{
    struct rng rng = {21};
    struct buf bytes = {0};

    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        buf_clear(&bytes);
        valid_commands(seed, &bytes);
        fuzz_commands(buf_str(&bytes));
        for (int i = 0; i < 5; i++) {
            flip_some(&rng, &bytes);
            fuzz_commands(buf_str(&bytes));
        }
    }
    buf_free(&bytes);
}

/* Guards against frames that are read behind their end. */
static void
test_frames(void)
{
    static const char *const corpus[] = {
        "",
        "\0\0\0",
        "\0\0\0\0",
        "\0\0\4\1x",
        "\0\0\0\2\x2a\0\0\0\0\1\n",
        "\0\0\0\4\x0a\x02\x0a\xff",
        "\0\0\0\7\x2a\x05\x52\xff\xff\xff\xff",
        "\xff\xff\xff\xff",
    };
    static const size_t lengths[] = {0, 3, 4, 5, 11, 8, 11, 4};
    struct rng rng = {22};

    for (size_t i = 0; i < G_N_ELEMENTS(corpus); i++) {
        fuzz_frames(str_from(corpus[i], lengths[i]));
    }
    for (int i = 0; i < 20000; i++) {
        size_t len = 4 + rng_below(&rng, 40);
        char *bytes = g_malloc0(len);
        for (size_t k = 3; k < len; k++) {
            bytes[k] = (char)rng_below(&rng, i % 2 == 0 ? 256 : 48);
        }
        fuzz_frames(str_from(bytes, len));
        g_free(bytes);
    }
}

/* Guards against a snapshot or a delta that is read behind its end. */
static void
test_snapshots(void)
{
    struct rng rng = {23};

    for (int i = 0; i < 20000; i++) {
        size_t len = 5 + rng_below(&rng, 40);
        char *bytes = g_malloc0(len);
        bytes[3] = (char)(len - 4);
        for (size_t k = 4; k < len; k++) {
            bytes[k] = (char)rng_below(&rng, 128);
        }
        fuzz_snapshot(str_from(bytes, len));
        g_free(bytes);
    }
}

/* Guards against settings that are read behind their end or leave memory
 * behind. */
static void
test_settings(void)
{
    struct rng rng = {24};

    for (int i = 0; i < 2000; i++) {
        unsigned char edit[8];

        for (size_t k = 0; k < sizeof(edit); k++) {
            edit[k] = (unsigned char)rng_below(&rng, k < 4 ? 256 : 128);
        }
        /* Mostly short replacements, so that much of the example is left. */
        edit[2] = 0;
        edit[3] %= 8;
        fuzz_settings(str_from(edit, 4 + rng_below(&rng, 5)));
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/fuzz/commands", test_commands);
    g_test_add_func("/fuzz/frames", test_frames);
    g_test_add_func("/fuzz/snapshots", test_snapshots);
    g_test_add_func("/fuzz/settings", test_settings);
    return g_test_run();
}
