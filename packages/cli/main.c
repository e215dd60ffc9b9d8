#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>
#include <sodium.h>

#include "cli.h"
#include "mem.h"

struct command {
    const char *group; /* NULL for a command of one word */
    const char *name;
    int (*run)(struct cli *cli, int argc, char **argv);
    const char *help;
};

static const struct command commands[] = {
    {"job", "submit", cli_job_submit, "Submit a job"},
    {"job", "show", cli_job_show, "Show a job; may wait for its end"},
    {"job", "list", cli_job_list, "List the team's jobs"},
    {"job", "cancel", cli_job_cancel, "Cancel a job or all with a prefix"},
    {NULL, "request", cli_request_send, "Send a request to a service"},
    {"teams", "get", cli_teams_get, "Print the list of teams"},
    {"teams", "set", cli_teams_set, "Replace the list of teams"},
    {"teams", "show", cli_teams_show, "Print what each team runs and awaits"},
    {"limits", "get", cli_limits_get, "Print the list of limits"},
    {"limits", "set", cli_limits_set, "Replace the list of limits"},
    {"key", "give", cli_key_give, "Create a key and print it once"},
    {"key", "withdraw", cli_key_withdraw, "Withdraw a key"},
    {"key", "list", cli_key_list, "List keys without their values"},
    {"vm", "list", cli_vm_list, "List the system's VMs"},
    {"vm", "drain", cli_vm_drain, "Drain a VM for a planned stop"},
    {"worker", "list", cli_worker_list, "List workers"},
    {"endpoint", "list", cli_endpoint_list, "List endpoints"},
    {"evacuation", "request", cli_evacuation_request,
     "Start nothing more in a failure domain"},
    {"evacuation", "withdraw", cli_evacuation_withdraw,
     "Use a failure domain again"},
    {"evacuation", "list", cli_evacuation_list, "List evacuations"},
    {"evacuation", "audit", cli_evacuation_audit,
     "Print the newest changes of evacuations"},
    {NULL, "audit", cli_audit, "Print the audit trail"},
    {NULL, "usage", cli_usage, "Print the usage of a month"},
    {NULL, "status", cli_status, "Print the status of the cluster"},
    {NULL, "bench", cli_bench, "Measure requests or job submissions"},
};

enum {
    COMMAND_COUNT = sizeof(commands) / sizeof(commands[0]),
    DEFAULT_TIMEOUT_MS = 30000,
    OPT_KEY_FILE = 1000,
    OPT_JSON,
    OPT_TIMEOUT,
};

const char *argp_program_version = "guavarock 0.1";

static const struct argp_option options[] = {
    {"server", 's', "URL", 0,
     "Entry URLs, separated by commas "
     "(GUAVAROCK_SERVER; default http://127.0.0.1:7070)",
     0},
    {"key", 'k', "KEY", 0, "Key (GUAVAROCK_KEY)", 0},
    {"key-file", OPT_KEY_FILE, "FILE", 0,
     "File that holds the key (GUAVAROCK_KEY_FILE)", 0},
    {"json", OPT_JSON, NULL, 0, "Print JSON", 0},
    {"timeout-ms", OPT_TIMEOUT, "MS", 0, "Time limit of a call (30000)", 0},
    {0},
};

static char *
read_key(const char *file)
{
    char text[256] = "";
    FILE *f = fopen(file, "r");

    if (f == NULL || fgets(text, sizeof(text), f) == NULL) {
        fprintf(stderr, "guavarock: cannot read a key from %s\n", file);
        exit(CLI_USAGE);
    }
    fclose(f);
    text[strcspn(text, "\r\n")] = '\0';
    return strdup(text);
}

static void
set_key(struct cli *cli, char *key)
{
    free(cli->key);
    cli->key = key;
}

static error_t
parse(int key, char *arg, struct argp_state *state)
{
    struct cli *cli = state->input;

    switch (key) {
    case 's':
        mem_free(cli->server_text);
        cli->server_text = strdup(arg);
        break;
    case 'k':
        set_key(cli, strdup(arg));
        break;
    case OPT_KEY_FILE:
        set_key(cli, read_key(arg));
        break;
    case OPT_JSON:
        cli->json = true;
        break;
    case OPT_TIMEOUT:
        cli->timeout_ms = cli_number(state, "--timeout-ms", arg, 3600000);
        break;
    case ARGP_KEY_ARG:
        /* The command begins here; its own parser reads the rest. */
        state->next--;
        state->argc = state->next;
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

static void
from_environment(struct cli *cli)
{
    const char *server = getenv("GUAVAROCK_SERVER");
    const char *key = getenv("GUAVAROCK_KEY");
    const char *file = getenv("GUAVAROCK_KEY_FILE");

    cli->timeout_ms = DEFAULT_TIMEOUT_MS;
    cli->server_text =
        strdup(server == NULL ? "http://127.0.0.1:7070" : server);
    if (key != NULL) {
        cli->key = strdup(key);
    }
    else if (file != NULL) {
        cli->key = read_key(file);
    }
}

static void
split_servers(struct cli *cli)
{
    char *rest = NULL;
    char *url = strtok_r(cli->server_text, ",", &rest);

    while (url != NULL && cli->server_count < CLI_SERVERS_MAX) {
        cli->servers[cli->server_count++] = url;
        url = strtok_r(NULL, ",", &rest);
    }
}

static const struct command *
find_command(int argc, char **argv)
{
    for (size_t i = 0; i < COMMAND_COUNT; i++) {
        const struct command *c = &commands[i];
        const char *first = c->group == NULL ? c->name : c->group;
        if (argc < 1 || strcmp(argv[0], first) != 0) {
            continue;
        }
        if (c->group == NULL || (argc > 1 && strcmp(argv[1], c->name) == 0)) {
            return c;
        }
    }
    return NULL;
}

static char *
help_filter(int key, const char *text, void *input)
{
    struct buf out = {0};

    (void)input;
    if (key != ARGP_KEY_HELP_POST_DOC) {
        return (char *)text;
    }
    buf_printf(&out, "Commands (each has --help):\n");
    for (size_t i = 0; i < COMMAND_COUNT; i++) {
        const struct command *c = &commands[i];
        buf_printf(&out, "  %-11s%-9s %s\n", c->group ? c->group : c->name,
                   c->group ? c->name : "", c->help);
    }
    buf_printf(&out,
               "\nExit codes: 0 done, 1 refused, 2 wrong arguments or file, "
               "3 not run (may be repeated), 4 outcome unknown, "
               "5 no server reached.");
    buf_append(&out, "", 1);
    return out.ptr;
}

static const struct argp argp = {
    .options = options,
    .parser = parse,
    .args_doc = "COMMAND [ARG...]",
    .doc = "Command line of the guavarock cluster scheduler.\v ",
    .help_filter = help_filter,
};

static int
run_command(struct cli *cli, int argc, char **argv)
{
    const struct command *c = find_command(argc, argv);
    char name[64];

    if (c == NULL) {
        fprintf(stderr, "guavarock: unknown command%s%s; see --help\n",
                argc > 0 ? " " : "", argc > 0 ? argv[0] : "");
        return CLI_USAGE;
    }
    if (c->group != NULL) {
        argc--;
        argv++;
    }
    snprintf(name, sizeof(name), "guavarock %s%s%s", c->group ? c->group : "",
             c->group ? " " : "", c->name);
    argv[0] = name;
    return c->run(cli, argc, argv);
}

int
main(int argc, char **argv)
{
    struct cli cli = {0};
    int first = argc;
    int status;

    argp_err_exit_status = CLI_USAGE;
    if (sodium_init() < 0) {
        return CLI_USAGE;
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    from_environment(&cli);
    argp_parse(&argp, argc, argv, ARGP_IN_ORDER, &first, &cli);
    split_servers(&cli);
    status = run_command(&cli, argc - first, argv + first);
    mem_free(cli.server_text);
    free(cli.key);
    curl_global_cleanup();
    return status;
}
