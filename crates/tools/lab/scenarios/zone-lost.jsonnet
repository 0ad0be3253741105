{ seconds: 60, faults: [{ at: 12, 'for': 20, what: { 'kill-zone': { zone: 1 } } }] }
