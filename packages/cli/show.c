#include <limits.h>
#include <stdio.h>

#include "cli.h"

static int
show(struct cli *cli, int argc, char **argv, const char *doc, const char *path,
     const char *member, const char *const *columns)
{
    const struct argp argp = {.doc = doc};

    argp_parse(&argp, argc, argv, 0, NULL, NULL);
    return cli_show(cli, path, member, columns);
}

int
cli_key_list(struct cli *cli, int argc, char **argv)
{
    static const char *const columns[] = {"id", "kind", "team", "created_ms",
                                          NULL};

    return show(cli, argc, argv, "List keys without their values.", "/v1/keys",
                "keys", columns);
}

int
cli_vm_list(struct cli *cli, int argc, char **argv)
{
    static const char *const columns[] = {
        "id",        "role",     "address",        "failure_domain",
        "connected", "draining", "config_version", NULL};

    return show(cli, argc, argv, "List the VMs that the system runs on.",
                "/v1/vms", "vms", columns);
}

int
cli_worker_list(struct cli *cli, int argc, char **argv)
{
    static const char *const columns[] = {"id",
                                          "rack",
                                          "failure_domain",
                                          "state",
                                          "capacity.cpu_milli",
                                          "used.cpu_milli",
                                          "capacity.memory_mib",
                                          "used.memory_mib",
                                          "capacity.accelerators",
                                          "used.accelerators",
                                          "tasks",
                                          NULL};

    return show(cli, argc, argv, "List workers and their state.",
                "/v1/workers", "workers", columns);
}

int
cli_endpoint_list(struct cli *cli, int argc, char **argv)
{
    static const char *const columns[] = {
        "id",    "service",     "address", "failure_domain",
        "slots", "connections", "leased",  "state",
        NULL};

    return show(cli, argc, argv, "List endpoints.", "/v1/endpoints",
                "endpoints", columns);
}

int
cli_teams_show(struct cli *cli, int argc, char **argv)
{
    static const char *const columns[] = {"team",
                                          "weight",
                                          "share_ppm",
                                          "entitlement_ppm",
                                          "tasks",
                                          "used.cpu_milli",
                                          "used.memory_mib",
                                          "used.accelerators",
                                          "jobs_running",
                                          "jobs_queued",
                                          "queued_since_ms",
                                          NULL};

    return show(cli, argc, argv,
                "Print what each team has under lease, its part of the fleet, "
                "the part that its weight entitles it to while the fleet is "
                "full, and what waits.",
                "/v1/teams", "teams", columns);
}

static const struct argp_option audit_options[] = {
    {"after", 'a', "SEQ", 0, "Only entries with a greater number", 0},
    {"last", 'l', "N", 0, "Only the newest N entries", 0},
    {0},
};

struct audit_range {
    long after;
    long last;
};

static error_t
audit_option(int key, char *arg, struct argp_state *state)
{
    struct audit_range *range = state->input;

    switch (key) {
    case 'a':
        range->after = cli_number(state, "--after", arg, LONG_MAX);
        break;
    case 'l':
        range->last = cli_number(state, "--last", arg, LONG_MAX);
        break;
    case ARGP_KEY_ARG:
        argp_error(state, "unexpected argument '%s'", arg);
        break;
    case ARGP_KEY_END:
        if (range->after >= 0 && range->last > 0) {
            argp_error(state, "give --after or --last, not both");
        }
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

int
cli_audit(struct cli *cli, int argc, char **argv)
{
    static const char *const columns[] = {"seq",     "time_ms", "key",
                                          "action",  "target",  "old_version",
                                          "version", "outcome", NULL};
    const struct argp argp = {.options = audit_options,
                              .parser = audit_option,
                              .doc = "Print the audit trail, oldest first."};
    struct audit_range range = {.after = -1};
    char path[64] = "/v1/audit";

    argp_parse(&argp, argc, argv, 0, NULL, &range);
    if (range.last > 0) {
        snprintf(path, sizeof(path), "/v1/audit?last=%ld", range.last);
    }
    else if (range.after >= 0) {
        snprintf(path, sizeof(path), "/v1/audit?after=%ld", range.after);
    }
    return cli_show(cli, path, "entries", columns);
}

int
cli_status(struct cli *cli, int argc, char **argv)
{
    return show(cli, argc, argv, "Print the status of the cluster.",
                "/v1/status", NULL, NULL);
}
