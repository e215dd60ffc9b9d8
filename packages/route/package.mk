route_DEPS := base
