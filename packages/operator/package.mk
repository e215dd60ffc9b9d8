operator_DEPS := base
