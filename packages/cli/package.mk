cli_DEPS := base operator
