// Nothing goes wrong, at four fifths of the fleet's capacity.
{ seconds: 40, load: { fill: 0.8 } }
