platform_DEPS := base
