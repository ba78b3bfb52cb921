// Top-level fields of an operator file, one for each optional feature. A feature's schema is in the
// file of the same name.
gossip?: #Gossip
why?: #Why
fleet?: #Fleet
