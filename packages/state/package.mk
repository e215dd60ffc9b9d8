state_DEPS := base
