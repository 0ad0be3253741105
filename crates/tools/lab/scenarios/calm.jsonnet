// Nothing goes wrong, at half of the fleet's capacity.
{ seconds: 40, checks: { service_least: 0.95 } }
