{ seconds: 50, faults: [{ at: 15, 'for': 10, what: { slow: { share: 1, factor: 1.6 } } }] }
