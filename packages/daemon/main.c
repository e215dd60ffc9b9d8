#include <argp.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>

#include <curl/curl.h>
#include <sodium.h>

#include "control.h"
#include "log.h"
#include "platform.h"
#include "settings.h"

enum {
    OPT_SINGLE = 1000,
    OPT_CHECK,
    OPT_PLATFORM,
    EXIT_USAGE_ERROR = 2,
};

struct options {
    const char *settings;
    const char *check;
    const char *listen;
    const char *data;
    bool single;
    bool platform;
};

const char *argp_program_version = "guavarockd 0.1";

static const struct argp_option options[] = {
    {"settings", 's', "FILE", 0, "Settings of this VM (JSON)", 0},
    {"check", OPT_CHECK, "FILE", 0, "Check a settings file and exit", 0},
    {"single", OPT_SINGLE, NULL, 0,
     "Run a cluster of one process, without settings", 0},
    {"platform", OPT_PLATFORM, NULL, 0,
     "Run workflows on the platform that names the settings file", 0},
    {"listen", 'l', "IP:PORT", 0, "With --single (127.0.0.1:7070)", 0},
    {"data", 'd', "DIR", 0, "With --single: data directory (./guavarock)", 0},
    {0},
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    struct options *o = state->input;

    switch (key) {
    case 's':
        o->settings = arg;
        break;
    case OPT_CHECK:
        o->check = arg;
        break;
    case OPT_SINGLE:
        o->single = true;
        break;
    case OPT_PLATFORM:
        o->platform = true;
        break;
    case 'l':
        o->listen = arg;
        break;
    case 'd':
        o->data = arg;
        break;
    case ARGP_KEY_ARG:
        argp_error(state, "unexpected argument '%s'", arg);
        break;
    case ARGP_KEY_END:
        if ((o->settings != NULL) + (o->check != NULL) + o->single +
                o->platform !=
            1) {
            argp_error(state, "give one of --settings, --check, --single, "
                              "--platform");
        }
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

static const struct argp argp = {
    .options = options,
    .parser = parse_option,
    .doc = "One process of the guavarock cluster scheduler.\v"
           "SIGTERM stops it gracefully. Exit status: 0 after a graceful "
           "stop, 1 when it could not start or was stopped at the drain "
           "deadline, 2 for wrong arguments or settings.",
};

static int
run_daemon(const struct settings *settings)
{
    /* enum log_level starts at LOG_LEVEL_CRIT, settings.log_level at 0. */
    log_init("guavarockd",
             (enum log_level)(settings->log_level + LOG_LEVEL_CRIT));
    return control_run(settings);
}

/* Blocks SIGTERM and SIGINT in all threads: the control thread reads them from
 * a signalfd. */
static void
block_signals(void)
{
    sigset_t set;

    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    pthread_sigmask(SIG_BLOCK, &set, NULL);
    signal(SIGPIPE, SIG_IGN);
    /* A write beyond the file size limit shall fail with EFBIG instead. */
    signal(SIGXFSZ, SIG_IGN);
}

int
main(int argc, char **argv)
{
    struct options o = {.listen = "127.0.0.1:7070", .data = "guavarock"};
    struct settings settings = {0};
    int status;

    argp_err_exit_status = EXIT_USAGE_ERROR;
    argp_parse(&argp, argc, argv, 0, NULL, &o);
    if (sodium_init() < 0) {
        return 1;
    }
    if (o.platform) {
        signal(SIGPIPE, SIG_IGN);
        signal(SIGXFSZ, SIG_IGN);
        return platform_run();
    }
    if (o.single) {
        settings_single(&settings, o.listen, o.data);
    }
    else if (!settings_load(&settings, o.check ? o.check : o.settings)) {
        return EXIT_USAGE_ERROR;
    }
    if (o.check != NULL) {
        printf("%s: the settings are valid\n", o.check);
        settings_free(&settings);
        return 0;
    }
    block_signals();
    curl_global_init(CURL_GLOBAL_DEFAULT);
    status = run_daemon(&settings);
    curl_global_cleanup();
    settings_free(&settings);
    return status;
}
