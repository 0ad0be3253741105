{ seconds: 50, faults: [{ at: 12, 'for': 20, what: { slow: { share: 0.25, factor: 4 } } }] }
