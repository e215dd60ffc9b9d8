caller_DEPS := base
