route_DEPS := base
route_EXPORTS := router_* ledger_* report_free grants_free grant_no_cmp
