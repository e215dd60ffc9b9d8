front_DEPS := base
