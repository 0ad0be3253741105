// All hosts die and come back cold: nobody is to be pushed over.
{ seconds: 60, faults: [{ at: 12, 'for': 6, what: { kill: { share: 1 } } }] }
