#include "cli.h"

#define EVACUATIONS_PATH "/v1/evacuations"

static int
change(struct cli *cli, const char *method, const struct argp *argp, int argc,
       char **argv)
{
    struct cli_one o = {.what = "failure domain"};

    argp_parse(argp, argc, argv, 0, NULL, &o);
    return cli_act_on_one(cli, method, EVACUATIONS_PATH "/", o.id, "");
}

int
cli_evacuation_request(struct cli *cli, int argc, char **argv)
{
    const struct argp argp = {
        .parser = cli_one_option,
        .args_doc = "FAILURE-DOMAIN",
        .doc = "Start nothing more in a failure domain. The command returns "
               "when that is committed; 'evacuation list' shows what still "
               "runs there."};

    return change(cli, "PUT", &argp, argc, argv);
}

int
cli_evacuation_withdraw(struct cli *cli, int argc, char **argv)
{
    const struct argp argp = {.parser = cli_one_option,
                              .args_doc = "FAILURE-DOMAIN",
                              .doc = "Use an evacuated failure domain again."};

    return change(cli, "DELETE", &argp, argc, argv);
}

int
cli_evacuation_list(struct cli *cli, int argc, char **argv)
{
    static const char *const columns[] = {
        "failure_domain", "evacuated", "changed_ms", "via",
        "tasks",          "empty_s",   NULL};
    const struct argp argp = {
        .doc = "List the failure domains that are or were evacuated, the "
               "tasks left there, and after how many seconds none was left "
               "(-1: some are)."};

    argp_parse(&argp, argc, argv, 0, NULL, NULL);
    return cli_show(cli, EVACUATIONS_PATH, "evacuations", columns);
}

int
cli_evacuation_audit(struct cli *cli, int argc, char **argv)
{
    static const char *const columns[] = {
        "changed_ms", "failure_domain", "evacuated", "change", "via", NULL};
    const struct argp argp = {
        .doc = "Print the newest changes of evacuations, oldest first, and "
               "the VM that took each request."};

    argp_parse(&argp, argc, argv, 0, NULL, NULL);
    return cli_show(cli, EVACUATIONS_PATH, "changes", columns);
}
