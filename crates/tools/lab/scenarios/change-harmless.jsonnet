// A harmless change to all hosts while a quarter of them dies.
{
  seconds: 150,
  changes: [{ at: 40, set: { 'zones.z0.weight': '0.95', 'zones.z1.weight': '0.95', 'zones.z2.weight': '0.95' } }],
  faults: [{ at: 44, 'for': 12, what: { kill: { share: 0.25 } } }],
  checks: { service_least: 0.8 },
}
