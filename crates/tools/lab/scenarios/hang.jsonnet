{ seconds: 50, faults: [{ at: 12, 'for': 15, what: { hang: { share: 0.15 } } }], checks: { service_least: 0.7 } }
