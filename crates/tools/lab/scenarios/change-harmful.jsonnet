// An operator holds a route back by more than anybody meant: it is taken back, tried once more, and undone.
{
  seconds: 110,
  changes: [{ at: 40, set: { 'routes.read.ceiling': '0.5' } }],
  checks: { service_least: 0.8 },
}
