probe_DEPS := base
