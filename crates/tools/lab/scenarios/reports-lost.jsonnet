{ seconds: 50, faults: [{ at: 10, 'for': 25, what: { 'reports-lost': { share: 0.9 } } }], checks: { service_least: 0.9 } }
