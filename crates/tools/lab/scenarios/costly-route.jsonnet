{ seconds: 50, load: { fill: 0.6 }, faults: [{ at: 12, 'for': 15, what: { cost: { route: 0, factor: 2 } } }] }
