{ seconds: 50, faults: [{ at: 15, 'for': 4, what: { 'kill-director': { director: 0 } } }], checks: { service_least: 0.9 } }
