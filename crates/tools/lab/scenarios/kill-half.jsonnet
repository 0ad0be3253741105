{ seconds: 50, faults: [{ at: 12, 'for': 12, what: { kill: { share: 0.5 } } }] }
