endpoint_DEPS := base
