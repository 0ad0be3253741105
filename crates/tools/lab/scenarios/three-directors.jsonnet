{ seconds: 50, fleet: { directors: 3 }, faults: [{ at: 12, 'for': 12, what: { kill: { share: 0.25 } } }] }
