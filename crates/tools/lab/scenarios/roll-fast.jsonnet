{ seconds: 50, faults: [{ at: 10, 'for': 12, what: { roll: { share: 1, at_a_time: 4 } } }] }
