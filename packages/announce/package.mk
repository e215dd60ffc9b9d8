announce_DEPS := base
