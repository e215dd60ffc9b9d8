#include <fcntl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

#include "settings.h"

static const char example[] = "{\n"
                              "\"vm\":\"a1\",\n"
                              "\"failure_domain\":\"fd1\",\n"
                              "\"listen\":\"127.0.0.1:7070\",\n"
                              "\"peer_listen\":\"127.0.0.1:7071\",\n"
                              "\"data\":\"cell\",\n"
                              "\"cluster_key_file\":\"KEY\",\n"
                              "\"control\":[{\"vm\":\"a1\",\"address\":"
                              "\"127.0.0.1:7071\"}],\n"
                              "\"heartbeat_ms\":100,\n"
                              "\"drain_notice_ms\":3000\n"
                              "}\n";

struct fixture {
    char *dir;
    char *key;
    char *file;
};

static void
set_up(struct fixture *f, gconstpointer data)
{
    (void)data;
    f->dir = g_dir_make_tmp("settings-XXXXXX", NULL);
    f->key = g_build_filename(f->dir, "key", NULL);
    f->file = g_build_filename(f->dir, "settings.json", NULL);
    g_file_set_contents(f->key, "0123456789abcdef0123456789abcdef\n", -1,
                        NULL);
}

static void
tear_down(struct fixture *f, gconstpointer data)
{
    (void)data;
    g_remove(f->key);
    g_remove(f->file);
    g_rmdir(f->dir);
    g_free(f->key);
    g_free(f->file);
    g_free(f->dir);
}

static void
write_edited(const struct fixture *f, const char *from, const char *to)
{
    g_autoptr(GString) text = g_string_new(example);

    if (from != NULL) {
        g_assert_cmpuint(g_string_replace(text, from, to, 1), ==, 1);
    }
    g_string_replace(text, "KEY", f->key, 1);
    g_file_set_contents(f->file, text->str, -1, NULL);
}

/* Returns what settings_load prints to standard error; sets *ok to its
 * result. */
static char *
load_errors(const char *file, bool *ok)
{
    struct settings s = {0};
    char text[512] = "";
    int saved = dup(STDERR_FILENO);
    int fds[2];

    g_assert_cmpint(pipe2(fds, O_NONBLOCK), ==, 0);
    dup2(fds[1], STDERR_FILENO);
    *ok = settings_load(&s, file);
    dup2(saved, STDERR_FILENO);
    if (*ok) {
        settings_free(&s);
    }
    (void)!read(fds[0], text, sizeof(text) - 1);
    close(fds[0]);
    close(fds[1]);
    close(saved);
    return g_strdup(text);
}

static void
test_valid(struct fixture *f, gconstpointer data)
{
    bool ok;

    (void)data;
    write_edited(f, NULL, NULL);
    g_autofree char *errors = load_errors(f->file, &ok);
    g_assert_cmpstr(errors, ==, "");
    g_assert_true(ok);
}

/* Guards against accepting an invalid setting, and against an error message
 * that lacks the file, line or field, or has more than one line. */
static void
test_errors(struct fixture *f, gconstpointer data)
{
    static const struct {
        const char *from;
        const char *to;
        const char *want; /* expected error, after the file name */
    } cases[] = {
        {"\"vm\":\"a1\",\n\"f", "\"f", ":1: field vm: "},
        {"7070", "70700", ":4: field listen: "},
        {"127.0.0.1:7071\",\n", "any:1\",\n", ":5: field peer_listen: "},
        {"\"data\":\"cell\",\n", "", ":1: field data: "},
        {"KEY", "KEY.none", ":7: field cluster_key_file: No such file"},
        {"\"127.0.0.1:7071\"}", "\"localhost:1\"}", ":8: field control: "},
        {"}],", "},{\"vm\":\"a2\",\"address\":\"127.0.0.1:1\"}],",
         ":8: field control: list 1, 3 or 5"},
        {"100,", "251,", ":9: field heartbeat_ms: must be at most half"},
        {"100,", "-1,", ":9: field heartbeat_ms: "},
        {"3000", "60000", ":10: field drain_notice_ms: must be less"},
        {"heartbeat_ms", "heart_ms", ":9: field heart_ms: "},
        {"100,", "100", ":10: field -: line 10"},
    };

    (void)data;
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        bool ok;

        write_edited(f, cases[i].from, cases[i].to);
        g_autofree char *errors = load_errors(f->file, &ok);
        g_autofree char *want =
            g_strconcat("guavarockd: ", f->file, cases[i].want, NULL);
        g_test_message("%s", errors);
        g_assert_false(ok);
        g_assert_true(g_str_has_prefix(errors, want));
        g_assert_cmpuint(strcspn(errors, "\n"), ==, strlen(errors) - 1);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add("/settings/valid", struct fixture, NULL, set_up, test_valid,
               tear_down);
    g_test_add("/settings/errors", struct fixture, NULL, set_up, test_errors,
               tear_down);
    return g_test_run();
}
