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
    static const char *const columns[] = {"id", "kind", "team", NULL};

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
    static const char *const columns[] = {
        "id",         "rack",         "failure_domain", "cpu_milli",
        "memory_mib", "accelerators", "state",          NULL};

    return show(cli, argc, argv, "List workers and their state.",
                "/v1/workers", "workers", columns);
}

int
cli_endpoint_list(struct cli *cli, int argc, char **argv)
{
    static const char *const columns[] = {
        "id",    "service",     "address", "failure_domain",
        "slots", "connections", "state",   NULL};

    return show(cli, argc, argv, "List endpoints.", "/v1/endpoints",
                "endpoints", columns);
}

int
cli_audit(struct cli *cli, int argc, char **argv)
{
    static const char *const columns[] = {"seq",     "time_ms", "key",
                                          "action",  "target",  "old_version",
                                          "version", "outcome", NULL};

    return show(cli, argc, argv, "Print the audit trail, oldest first.",
                "/v1/audit", "entries", columns);
}

int
cli_status(struct cli *cli, int argc, char **argv)
{
    return show(cli, argc, argv, "Print the status of the cluster.",
                "/v1/status", NULL, NULL);
}
