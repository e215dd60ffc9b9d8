worker_DEPS := base
